// Command savoryramp-vm runs savoryramp on a VM of the users' platform.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := start(); err != nil {
		fmt.Fprintf(os.Stderr, "savoryramp-vm: %s\n", err)
		os.Exit(1)
	}
}
