package proxy

// markerLength is the number of markers in a sequence. A server may repeat a refusal and the answers after it in one
// piece; one of up to as many answers doesn't have those to a whole sequence.
const markerLength = 8

// markerSequences are the sequences of markers for a connection outside a transaction. Answers to markers show nothing
// but whether a transaction is open, so a sequence is given by that: true where one is open after a marker. All begin and
// end a transaction, and are equally long, so that none begins or ends with another one: answers to one that was sent
// before, repeated in part or whole, don't stand for those to the next one.
var markerSequences = listMarkerSequences(nil)

// listMarkerSequences returns the sequences that begin with prefix.
func listMarkerSequences(prefix []bool) [][]bool {
	isOpen := len(prefix) > 0 && prefix[len(prefix)-1]
	if len(prefix) == markerLength {
		if isOpen {
			return nil
		}
		return [][]bool{prefix}
	}
	// Outside a transaction only its begin leads to another state.
	list := listMarkerSequences(append(prefix[:len(prefix):len(prefix)], true))
	if isOpen {
		list = append(list, listMarkerSequences(append(prefix[:len(prefix):len(prefix)], false))...)
	}
	return list
}

// nextMarkers returns a sequence of markers for a connection outside a transaction. A sequence comes again only once
// all others were sent.
func (c *Conn) nextMarkers() []Command {
	sequence := markerSequences[c.sequences%len(markerSequences)]
	c.sequences++
	var markers []Command
	wasOpen := false
	for _, isOpen := range sequence {
		switch {
		case !isOpen:
			markers = append(markers, Abandon{})
		case wasOpen:
			markers = append(markers, c.markersInTransaction(1)...)
		default:
			markers = append(markers, BeginAt{ReadOnly: true})
		}
		wasOpen = isOpen
	}
	return markers
}
