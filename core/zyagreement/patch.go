package zyagreement

import (
	"zinniayoke/core/zybundle"
)

// Patch is a lineage whose last text is told as the difference from the bundle
// that the receiver has in force, since most versions change a few lines.
type Patch struct {
	// Base is the hash of the bundle that the difference starts from.
	Base zybundle.Hash `codec:"b"`
	// Prefix and Suffix are how many bytes the texts share at their ends.
	Prefix int    `codec:"p"`
	Suffix int    `codec:"s"`
	Middle []byte `codec:"m"`
	// Links is the lineage without the text of its last link.
	Links Lineage `codec:"l"`
}

// PatchFrom returns the lineage as a patch of base. It returns nil where that
// saves nothing.
func PatchFrom(base *zybundle.Bundle, lineage Lineage) *Patch {
	if base == nil || len(lineage) == 0 {
		return nil
	}
	last := lineage[len(lineage)-1]
	text := last.Proposal.Text
	prefix := sharedPrefix(base.Text, text)
	suffix := sharedSuffix(base.Text[prefix:], text[prefix:])
	if prefix+suffix < len(text)/2 {
		return nil
	}
	last.Proposal.Text = nil
	links := append(Lineage(nil), lineage...)
	links[len(links)-1] = last
	return &Patch{
		Base: base.Hash, Prefix: prefix, Suffix: suffix,
		Middle: text[prefix : len(text)-suffix], Links: links,
	}
}

// Apply returns the whole lineage. The error is a *RecordError where base is
// not what the patch starts from.
func (p *Patch) Apply(base *zybundle.Bundle) (Lineage, error) {
	if base == nil || base.Hash != p.Base || len(p.Links) == 0 {
		return nil, &RecordError{Problem: "the patch starts from another bundle"}
	}
	size := len(base.Text)
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix+p.Suffix > size {
		return nil, &RecordError{Problem: "the patch is out of range"}
	}
	text := append([]byte(nil), base.Text[:p.Prefix]...)
	text = append(text, p.Middle...)
	text = append(text, base.Text[size-p.Suffix:]...)
	lineage := append(Lineage(nil), p.Links...)
	lineage[len(lineage)-1].Proposal.Text = text
	return lineage, nil
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
