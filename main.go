// Command savoryramp is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/savoryramp/savoryramp/internal/operator"
)

var version = "0.1.0"

func main() {
	os.Exit(int(operator.Main(version, os.Args[1:], os.Stdout, os.Stderr)))
}
