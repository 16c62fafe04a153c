// Package zyini reads INI text strictly. Every problem carries the file, the
// line, what was found and what is accepted, and all problems are reported at
// once.
package zyini

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one fault of an INI text. Line is 0 where the fault has no line,
// such as a missing section.
type Problem struct {
	File     string
	Line     int
	Section  string
	Key      string
	Found    string
	Accepted string
}

// String returns the problem as file:line: [section] key: found, accepted.
func (p Problem) String() string {
	where := fmt.Sprintf("%s:%d: [%s]", p.File, p.Line, p.Section)
	if p.Key != "" {
		where += " " + p.Key
	}
	return fmt.Sprintf("%s: found %s; accepted: %s", where, p.Found, p.Accepted)
}

// ProblemsError holds all problems of a text, in the order of their lines.
type ProblemsError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is an INI text with the line of each section and key.
type File struct {
	name     string
	sections []*Section
	problems []Problem
}

// Section is one section of a File. Its header is "[kind name]" or "[kind]".
type Section struct {
	file *File
	ini  *ini.Section
	line int
	keys map[string]int
	used map[string]bool

	Header string
	Kind   string
	Name   string
}

// Parse reads text. Problems of the text are kept and returned by Err.
func Parse(name string, text []byte) *File {
	f := &File{name: name}
	f.scan(string(text))
	if len(f.problems) > 0 {
		return f
	}
	options := ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
	}
	loaded, err := ini.LoadSources(options, text)
	if err != nil {
		f.add(Problem{Found: err.Error(), Accepted: "INI text"})
		return f
	}
	for _, s := range f.sections {
		s.ini = loaded.Section(s.Header)
	}
	return f
}

// scan notes the lines of sections and keys and rejects what the format does
// not have, since the INI library tells no lines.
func (f *File) scan(text string) {
	var current *Section
	seen := make(map[string]int)
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = f.scanSection(line, i+1, seen)
		default:
			f.scanKey(current, line, i+1)
		}
	}
}

func (f *File) scanSection(line string, number int, seen map[string]int) *Section {
	if !strings.HasSuffix(line, "]") || len(line) < 3 {
		f.add(Problem{Line: number, Found: quote(line), Accepted: "[kind] or [kind name]"})
		return nil
	}
	header := line[1 : len(line)-1]
	kind, name, _ := strings.Cut(header, " ")
	if header != strings.Join(strings.Fields(header), " ") || header == "DEFAULT" {
		f.add(Problem{Line: number, Section: header, Found: quote(line), Accepted: "[kind] or [kind name], one space between"})
		return nil
	}
	if first, ok := seen[header]; ok {
		found := fmt.Sprintf("a second section of this name; the first is on line %d", first)
		f.add(Problem{Line: number, Section: header, Found: found, Accepted: "each section once"})
	}
	seen[header] = number
	s := &Section{
		file: f, line: number, Header: header, Kind: kind, Name: name,
		keys: make(map[string]int), used: make(map[string]bool),
	}
	f.sections = append(f.sections, s)
	return s
}

func (f *File) scanKey(s *Section, line string, number int) {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if s == nil {
		f.add(Problem{Line: number, Found: quote(line), Accepted: "a section header first"})
		return
	}
	if !ok || key == "" || strings.ContainsAny(key, "\"`' ") || strings.ContainsAny(value, "\"`\x00") {
		f.add(Problem{Line: number, Section: s.Header, Found: quote(line), Accepted: "key = value without quotes"})
		return
	}
	if first, ok := s.keys[key]; ok {
		found := fmt.Sprintf("the key again; the first is on line %d", first)
		f.add(Problem{Line: number, Section: s.Header, Key: key, Found: found, Accepted: "each key once"})
		return
	}
	s.keys[key] = number
}

func (f *File) add(p Problem) {
	p.File = f.name
	f.problems = append(f.problems, p)
}

// Reject adds a problem that concerns the whole text.
func (f *File) Reject(section, found, accepted string) {
	f.add(Problem{Section: section, Found: found, Accepted: accepted})
}

// Sections returns the sections in the order of the text. It returns none
// where the text itself is malformed.
func (f *File) Sections() []*Section {
	if len(f.problems) > 0 {
		return nil
	}
	return append([]*Section(nil), f.sections...)
}

// Err returns a *ProblemsError with all problems so far, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	problems := slices.Clone(f.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &ProblemsError{Problems: problems}
}

// RejectHeader adds a problem that concerns the section's header.
func (s *Section) RejectHeader(found, accepted string) {
	s.file.add(Problem{Line: s.line, Section: s.Header, Found: found, Accepted: accepted})
}

// RejectKey adds a problem that concerns a key of the section.
func (s *Section) RejectKey(key, found, accepted string) {
	line, ok := s.keys[key]
	if !ok {
		line = s.line
	}
	s.file.add(Problem{Line: line, Section: s.Header, Key: key, Found: found, Accepted: accepted})
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// RejectUnknownKeys rejects every key that was not read, naming those that are known.
func (s *Section) RejectUnknownKeys() {
	known := make([]string, 0, len(s.used))
	for key := range s.used {
		known = append(known, key)
	}
	slices.Sort(known)
	unknown := make([]string, 0)
	for key := range s.keys {
		if !s.used[key] {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		s.RejectKey(key, "an unknown key", strings.Join(known, ", "))
	}
}

func quote(s string) string {
	return fmt.Sprintf("%q", s)
}
