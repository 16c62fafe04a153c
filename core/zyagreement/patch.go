package zyagreement

import (
	"fmt"

	"zinniayoke/core/zybundle"
)

// Patch is the next link of a lineage with the bundle text encoded as a difference
// from the bundle in force at the receiver, because most versions change only a few
// lines.
type Patch struct {
	// Base is the hash of the bundle to which the patch applies.
	Base zybundle.Hash `codec:"b"`
	// Prefix and Suffix are the numbers of bytes that both texts have in common at the
	// start and at the end.
	Prefix int `codec:"p"`
	Suffix int `codec:"s"`
	// Middle is the part of the new text between them.
	Middle []byte `codec:"m"`
	// Link is the link without the text of its proposal.
	Link Link `codec:"l"`
}

// NewPatch returns the last link of the lineage as a patch to base. It returns nil
// if the link does not follow base, or if the texts have less than half of the new
// text in common.
func NewPatch(base *zybundle.Bundle, lineage Lineage) *Patch {
	if base == nil || len(lineage) == 0 {
		return nil
	}
	last := lineage[len(lineage)-1]
	if last.RollOut.Parent != base.Hash {
		return nil
	}
	text := last.Proposal.Text
	prefix := commonPrefix(base.Text, text)
	suffix := commonSuffix(base.Text[prefix:], text[prefix:])
	if prefix+suffix < len(text)/2 {
		return nil
	}
	last.Proposal.Text = nil
	return &Patch{
		Base: base.Hash, Prefix: prefix, Suffix: suffix, Middle: text[prefix : len(text)-suffix], Link: last,
	}
}

// restoreLink applies the patch to base and returns the link with its full text. The
// error is a *RecordError if the patch is for another bundle or out of range.
func (p *Patch) restoreLink(base *zybundle.Bundle) (Link, error) {
	if base == nil || base.Hash != p.Base {
		return Link{}, &RecordError{Problem: fmt.Sprintf("the patch applies to bundle %s, which is not in force", p.Base)}
	}
	size := len(base.Text)
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > size || p.Suffix > size-p.Prefix {
		return Link{}, &RecordError{Problem: fmt.Sprintf("patch out of range: prefix %d and suffix %d of a text of %d bytes", p.Prefix, p.Suffix, size)}
	}
	text := append([]byte(nil), base.Text[:p.Prefix]...)
	text = append(text, p.Middle...)
	text = append(text, base.Text[size-p.Suffix:]...)
	link := p.Link
	link.Proposal.Text = text
	return link, nil
}

// AdoptPatch verifies the next version, received from a peer, and puts it into force.
// It reports whether the bundle in force has changed. An older version is ignored. The
// error is a *RecordError.
func (s *State) AdoptPatch(p *Patch) (bool, error) {
	if p.Link.Proposal.Version <= s.Version() {
		return false, nil
	}
	link, err := p.restoreLink(s.inForce)
	if err != nil {
		return false, err
	}
	if link.RollOut.Parent != s.Hash() {
		return false, &RecordError{Problem: fmt.Sprintf("the patch follows bundle %s, but %s is in force", link.RollOut.Parent, s.Hash())}
	}
	b, err := s.verifyLink(link)
	if err != nil {
		return false, err
	}
	s.putInForce(b, s.extendLineage(link))
	return true, nil
}

// commonPrefix returns the length of the longest common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// commonSuffix returns the length of the longest common suffix of a and b.
func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
