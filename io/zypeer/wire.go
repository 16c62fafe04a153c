package zypeer

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"zinniayoke"
)

// field encodes and decodes one field of a T. Its number is its position in a list of
// fields, from 1. Fields with their zero value are not sent, and fields with an unknown
// number are skipped, so a new field goes to the end of its list, and none is removed.
type field[T any] struct {
	append  func(b []byte, n protowire.Number, v *T) []byte
	consume func(d *decoder, v *T)
}

// attemptFields are the fields of an Attempt, apart from its body, which is sent after them.
var attemptFields = []field[zinniayoke.Attempt]{
	text(func(a *zinniayoke.Attempt) *zinniayoke.AttemptID { return &a.ID }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.RequestID { return &a.Request }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.Caller { return &a.Caller }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.Customer { return &a.Customer }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.Service { return &a.Service }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.RouteName { return &a.Route }),
	text(func(a *zinniayoke.Attempt) *string { return &a.Method }),
	text(func(a *zinniayoke.Attempt) *string { return &a.Host }),
	text(func(a *zinniayoke.Attempt) *string { return &a.Path }),
	text(func(a *zinniayoke.Attempt) *string { return &a.Query }),
	list(headerFields, func(a *zinniayoke.Attempt) *[]zinniayoke.Header { return &a.Headers }),
	fixed(func(a *zinniayoke.Attempt) *uint64 { return &a.BodyHash }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.Key { return &a.Key }),
	message(grantFields, func(a *zinniayoke.Attempt) *zinniayoke.Grant { return &a.Grant }),
	integer(func(a *zinniayoke.Attempt) *zinniayoke.Rank { return &a.Rank }),
	integer(func(a *zinniayoke.Attempt) *time.Duration { return &a.Timeout }),
	integer(func(a *zinniayoke.Attempt) *zinniayoke.Tokens { return &a.Tokens }),
	integer(func(a *zinniayoke.Attempt) *int { return &a.Depth }),
	integer(func(a *zinniayoke.Attempt) *zinniayoke.Version { return &a.Version }),
	integer(func(a *zinniayoke.Attempt) *time.Duration { return &a.MaxWait }),
	boolean(func(a *zinniayoke.Attempt) *bool { return &a.RefusedElsewhere }),
	boolean(func(a *zinniayoke.Attempt) *bool { return &a.Resent }),
	boolean(func(a *zinniayoke.Attempt) *bool { return &a.InRepeatedRun }),
	integer(func(a *zinniayoke.Attempt) *int { return &a.EarlierCalls }),
	boolean(func(a *zinniayoke.Attempt) *bool { return &a.LastChoice }),
	pointer(heardFields, func(a *zinniayoke.Attempt) **zinniayoke.HeardNotice { return &a.Heard }),
	text(func(a *zinniayoke.Attempt) *zinniayoke.Customer { return &a.Share }),
	integer(func(a *zinniayoke.Attempt) *time.Duration { return &a.RedirectAfter }),
	integer(func(a *zinniayoke.Attempt) *time.Duration { return &a.UsualTime }),
}

// replyFields are the fields of a Reply, apart from the body of its response.
var replyFields = []field[zinniayoke.Reply]{
	text(func(r *zinniayoke.Reply) *zinniayoke.AttemptID { return &r.Attempt }),
	text(func(r *zinniayoke.Reply) *zinniayoke.RequestID { return &r.Request }),
	pointer(responseFields, func(r *zinniayoke.Reply) **zinniayoke.Response { return &r.Response }),
	integer(func(r *zinniayoke.Reply) *zinniayoke.Reason { return &r.Reason }),
	integer(func(r *zinniayoke.Reply) *zinniayoke.Outcome { return &r.Outcome }),
	text(func(r *zinniayoke.Reply) *string { return &r.Detail }),
	integer(func(r *zinniayoke.Reply) *time.Duration { return &r.RetryAfter }),
	integer(func(r *zinniayoke.Reply) *zinniayoke.Tokens { return &r.Unused }),
	integer(func(r *zinniayoke.Reply) *zinniayoke.Tokens { return &r.Spent }),
	integer(func(r *zinniayoke.Reply) *zinniayoke.Rank { return &r.Threshold }),
	integer(func(r *zinniayoke.Reply) *int { return &r.Load }),
	boolean(func(r *zinniayoke.Reply) *bool { return &r.Delivered }),
	boolean(func(r *zinniayoke.Reply) *bool { return &r.CalledByWorkers }),
	list(costFields, func(r *zinniayoke.Reply) *[]zinniayoke.ServiceCost { return &r.Costs }),
	pointer(heardFields, func(r *zinniayoke.Reply) **zinniayoke.HeardNotice { return &r.Heard }),
	boolean(func(r *zinniayoke.Reply) *bool { return &r.WorkerError }),
	pointer(reportFields, func(r *zinniayoke.Reply) **zinniayoke.LoadReport { return &r.Report }),
	integer(func(r *zinniayoke.Reply) *time.Duration { return &r.HoldTime }),
	integer(func(r *zinniayoke.Reply) *time.Duration { return &r.Wait }),
}

var reportFields = []field[zinniayoke.LoadReport]{
	integer(func(l *zinniayoke.LoadReport) *int { return &l.Limit }),
	integer(func(l *zinniayoke.LoadReport) *int { return &l.Running }),
	integer(func(l *zinniayoke.LoadReport) *int { return &l.Waiting }),
	float(func(l *zinniayoke.LoadReport) *float64 { return &l.Speed }),
	integer(func(l *zinniayoke.LoadReport) *time.Duration { return &l.HoldTime }),
}

var headerFields = []field[zinniayoke.Header]{
	text(func(h *zinniayoke.Header) *string { return &h.Name }),
	text(func(h *zinniayoke.Header) *string { return &h.Value }),
}

var grantFields = []field[zinniayoke.Grant]{
	text(func(g *zinniayoke.Grant) *zinniayoke.Domain { return &g.Slot.Domain }),
	integer(func(g *zinniayoke.Grant) *int { return &g.Slot.Number }),
	integer(func(g *zinniayoke.Grant) *uint64 { return &g.Epoch.Major }),
	text(func(g *zinniayoke.Grant) *zinniayoke.NodeID { return &g.Epoch.Node }),
	integer(func(g *zinniayoke.Grant) *uint64 { return &g.Epoch.Minor }),
}

var responseFields = []field[zinniayoke.Response]{
	integer(func(r *zinniayoke.Response) *int { return &r.Status }),
	list(headerFields, func(r *zinniayoke.Response) *[]zinniayoke.Header { return &r.Headers }),
	integer(func(r *zinniayoke.Response) *int { return &r.Length }),
	fixed(func(r *zinniayoke.Response) *uint64 { return &r.Hash }),
	text(func(r *zinniayoke.Response) *zinniayoke.RequestID { return &r.Request }),
	text(func(r *zinniayoke.Response) *zinniayoke.AttemptID { return &r.Attempt }),
}

var costFields = []field[zinniayoke.ServiceCost]{
	text(func(c *zinniayoke.ServiceCost) *zinniayoke.Service { return &c.Service }),
	float(func(c *zinniayoke.ServiceCost) *float64 { return &c.Cost }),
	float(func(c *zinniayoke.ServiceCost) *float64 { return &c.ExcessShare }),
}

var heardFields = []field[zinniayoke.HeardNotice]{
	text(func(h *zinniayoke.HeardNotice) *zinniayoke.Instance { return &h.Instance }),
	integer(func(h *zinniayoke.HeardNotice) *zinniayoke.Incarnation { return &h.Incarnation }),
	boolean(func(h *zinniayoke.HeardNotice) *bool { return &h.Notice.Limited }),
	float(func(h *zinniayoke.HeardNotice) *zinniayoke.Rate { return &h.Notice.Limit }),
	boolean(func(h *zinniayoke.HeardNotice) *bool { return &h.Notice.Leaving }),
}

func appendFields[T any](b []byte, fields []field[T], v *T) []byte {
	for i := range fields {
		b = fields[i].append(b, protowire.Number(i+1), v)
	}
	return b
}

// decodeFields decodes raw into v. The decoded strings share one copy of raw.
func decodeFields[T any](d *decoder, raw []byte, fields []field[T], v *T) error {
	*d = decoder{raw: raw, text: string(raw)}
	consumeFields(d, fields, v)
	return d.err
}

func consumeFields[T any](d *decoder, fields []field[T], v *T) {
	for len(d.raw) > 0 && d.err == nil {
		n, typ, size := protowire.ConsumeTag(d.raw)
		d.advance(size)
		switch {
		case d.err != nil:
		case int(n) > len(fields):
			d.advance(protowire.ConsumeFieldValue(n, typ, d.raw))
		default:
			d.typ = typ
			fields[n-1].consume(d, v)
		}
	}
}

// decoder reads the fields of a message. The string text has the same content as raw.
type decoder struct {
	raw  []byte
	text string
	// typ is the wire type of the field that is being read.
	typ protowire.Type
	err error
}

// advance skips size bytes. A negative size is an error code of protowire.
func (d *decoder) advance(size int) {
	if size < 0 {
		d.err = protowire.ParseError(size)
		return
	}
	d.raw, d.text = d.raw[size:], d.text[size:]
}

// expect reports whether the field has the wire type.
func (d *decoder) expect(typ protowire.Type) bool {
	if d.typ != typ {
		d.err = &WireTypeError{Type: int(d.typ)}
	}
	return d.err == nil
}

// bytes reads a field with a length and returns its raw content and the same as a string.
func (d *decoder) bytes() (raw []byte, text string) {
	if !d.expect(protowire.BytesType) {
		return nil, ""
	}
	raw, size := protowire.ConsumeBytes(d.raw)
	if size > 0 {
		text = d.text[size-len(raw) : size]
	}
	d.advance(size)
	return raw, text
}

func (d *decoder) varint() uint64 {
	if !d.expect(protowire.VarintType) {
		return 0
	}
	v, size := protowire.ConsumeVarint(d.raw)
	d.advance(size)
	return v
}

func (d *decoder) fixed64() uint64 {
	if !d.expect(protowire.Fixed64Type) {
		return 0
	}
	v, size := protowire.ConsumeFixed64(d.raw)
	d.advance(size)
	return v
}

func text[T any, S ~string](of func(*T) *S) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			s := string(*of(v))
			if s == "" {
				return b
			}
			return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
		},
		consume: func(d *decoder, v *T) {
			_, s := d.bytes()
			*of(v) = S(s)
		},
	}
}

func integer[T any, N ~int | ~int64 | ~uint32 | ~uint64](of func(*T) *N) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			i := *of(v)
			if i == 0 {
				return b
			}
			return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), protowire.EncodeZigZag(int64(i)))
		},
		consume: func(d *decoder, v *T) { *of(v) = N(protowire.DecodeZigZag(d.varint())) },
	}
}

func fixed[T any](of func(*T) *uint64) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			if *of(v) == 0 {
				return b
			}
			return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), *of(v))
		},
		consume: func(d *decoder, v *T) { *of(v) = d.fixed64() },
	}
}

func float[T any, F ~float64](of func(*T) *F) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			if *of(v) == 0 {
				return b
			}
			return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), math.Float64bits(float64(*of(v))))
		},
		consume: func(d *decoder, v *T) { *of(v) = F(math.Float64frombits(d.fixed64())) },
	}
}

func boolean[T any](of func(*T) *bool) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			if !*of(v) {
				return b
			}
			return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), 1)
		},
		consume: func(d *decoder, v *T) { *of(v) = d.varint() != 0 },
	}
}

// message is a field that is a struct. It is sent unless it is empty.
func message[T, M any](fields []field[M], of func(*T) *M) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			before := len(b)
			b = appendMessage(b, n, fields, of(v))
			if len(b) == before+protowire.SizeTag(n)+1 {
				return b[:before]
			}
			return b
		},
		consume: func(d *decoder, v *T) { consumeMessage(d, fields, of(v)) },
	}
}

// pointer is a field that points to a struct or is nil.
func pointer[T, M any](fields []field[M], of func(*T) **M) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			if *of(v) == nil {
				return b
			}
			return appendMessage(b, n, fields, *of(v))
		},
		consume: func(d *decoder, v *T) {
			m := new(M)
			consumeMessage(d, fields, m)
			*of(v) = m
		},
	}
}

// list is a field that is a list of structs, sent as one field for each.
func list[T, M any](fields []field[M], of func(*T) *[]M) field[T] {
	return field[T]{
		append: func(b []byte, n protowire.Number, v *T) []byte {
			all := *of(v)
			for i := range all {
				b = appendMessage(b, n, fields, &all[i])
			}
			return b
		},
		consume: func(d *decoder, v *T) {
			all := of(v)
			if *all == nil {
				const usual = 4
				*all = make([]M, 0, usual)
			}
			*all = append(*all, *new(M))
			consumeMessage(d, fields, &(*all)[len(*all)-1])
		},
	}
}

func appendMessage[M any](b []byte, n protowire.Number, fields []field[M], m *M) []byte {
	b = protowire.AppendTag(b, n, protowire.BytesType)
	start := len(b)
	b = appendFields(append(b, 0), fields, m) // One byte is enough for most lengths.
	size := len(b) - start - 1
	if extra := protowire.SizeVarint(uint64(size)) - 1; extra > 0 {
		b = append(b, make([]byte, extra)...)
		copy(b[start+1+extra:], b[start+1:start+1+size])
	}
	protowire.AppendVarint(b[:start], uint64(size))
	return b
}

func consumeMessage[M any](d *decoder, fields []field[M], m *M) {
	raw, text := d.bytes()
	if d.err != nil {
		return
	}
	restRaw, restText := d.raw, d.text
	d.raw, d.text = raw, text
	consumeFields(d, fields, m)
	d.raw, d.text = restRaw, restText
}
