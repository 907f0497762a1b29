package peer

// Fields of a drpc frame: a control byte, whose lowest bit is set in the last frame of a
// packet, then the stream, the message and the length as varints, then the data.
const (
	fieldControl = iota
	fieldStream
	fieldMessage
	fieldLength
	fieldData
)

// packetScanner follows the frames of a byte stream in order to know whether the packet at
// its end is complete.
type packetScanner struct {
	field  int
	last   bool // the frame is the last one of its packet
	shift  uint
	length uint64
	// more is set between two frames of a packet.
	more bool
}

// partial reports whether a part of a packet has been received.
func (s *packetScanner) partial() bool { return s.more || s.field != fieldControl }

// scan follows the next bytes. Bytes that are no frames make the rest wrong, which the
// reader of the packets detects itself.
func (s *packetScanner) scan(data []byte) {
	for len(data) > 0 {
		if s.field == fieldData {
			n := min(uint64(len(data)), s.length)
			s.length -= n
			data = data[n:]
		} else {
			s.scanHeader(data[0])
			data = data[1:]
		}
		if s.field == fieldData && s.length == 0 {
			s.field, s.more = fieldControl, !s.last
		}
	}
}

func (s *packetScanner) scanHeader(b byte) {
	if s.field == fieldControl {
		s.last, s.length, s.shift, s.field = b&1 == 1, 0, 0, fieldStream
		return
	}
	if s.field == fieldLength {
		s.length |= uint64(b&0x7f) << s.shift
		s.shift += 7
	}
	if b&0x80 == 0 {
		s.field++
	}
}
