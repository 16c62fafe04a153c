package zyagreement

import (
	"zinniayoke/core/zybundle"
)

// Patch is the next link of a lineage, whose text is told as the difference from
// the bundle that the receiver has in force, since most versions change a few
// lines.
type Patch struct {
	// Base is the hash of the bundle that the difference starts from.
	Base zybundle.Hash `codec:"b"`
	// Prefix and Suffix are how many bytes the texts share at their ends.
	Prefix int    `codec:"p"`
	Suffix int    `codec:"s"`
	Middle []byte `codec:"m"`
	// Link lacks its text.
	Link Link `codec:"l"`
}

// NewPatch returns the last link of the lineage as a patch of base. It returns
// nil where the link does not follow base or where a patch saves little.
func NewPatch(base *zybundle.Bundle, lineage Lineage) *Patch {
	if base == nil || len(lineage) == 0 {
		return nil
	}
	last := lineage[len(lineage)-1]
	if last.RollOut.Parent != base.Hash {
		return nil
	}
	text := last.Proposal.Text
	prefix := sharedPrefix(base.Text, text)
	suffix := sharedSuffix(base.Text[prefix:], text[prefix:])
	if prefix+suffix < len(text)/2 {
		return nil
	}
	last.Proposal.Text = nil
	return &Patch{
		Base: base.Hash, Prefix: prefix, Suffix: suffix, Middle: text[prefix : len(text)-suffix], Link: last,
	}
}

// whole returns the link with its text. The error is a *RecordError where base
// is not what the patch starts from.
func (p *Patch) whole(base *zybundle.Bundle) (Link, error) {
	if base == nil || base.Hash != p.Base {
		return Link{}, &RecordError{Problem: "the patch starts from another bundle"}
	}
	size := len(base.Text)
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > size || p.Suffix > size-p.Prefix {
		return Link{}, &RecordError{Problem: "the patch is out of range"}
	}
	text := append([]byte(nil), base.Text[:p.Prefix]...)
	text = append(text, p.Middle...)
	text = append(text, base.Text[size-p.Suffix:]...)
	link := p.Link
	link.Proposal.Text = text
	return link, nil
}

// AdoptPatch takes in the next version from a peer and reports whether it is in
// force now. The error is a *RecordError.
func (s *State) AdoptPatch(p *Patch) (bool, error) {
	if p.Link.Proposal.Version <= s.Version() {
		return false, nil
	}
	link, err := p.whole(s.inForce)
	if err != nil {
		return false, err
	}
	if link.RollOut.Parent != s.Hash() {
		return false, &RecordError{Problem: "the patch does not follow what is in force"}
	}
	b, err := s.verifyLink(link)
	if err != nil {
		return false, err
	}
	s.enact(b, s.extend(link))
	return true, nil
}

func sharedPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func sharedSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
