// Package zyini is a strict INI parser. It rejects duplicate sections and keys, and on
// request the keys that its user has not read. It reports all problems of a file at
// once, each with the file, the line, the text found and the values accepted.
package zyini

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in an INI file. Line is 0 if the error has no line, such as
// a missing section.
type Problem struct {
	File     string
	Line     int
	Section  string
	Key      string
	Found    string
	Accepted string
}

// String formats the problem as "file:line: [section] key: found x; accepted: y".
func (p Problem) String() string {
	where := fmt.Sprintf("%s:%d: [%s]", p.File, p.Line, p.Section)
	if p.Key != "" {
		where += " " + p.Key
	}
	return fmt.Sprintf("%s: found %s; accepted: %s", where, p.Found, p.Accepted)
}

// ProblemsError holds all problems of a file in line order.
type ProblemsError struct {
	Problems []Problem
}

// Error returns one line per problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file that knows the line of each section and key.
type File struct {
	name     string
	sections []*Section
	problems []Problem
}

// Section is one section of a File. Its header is "[kind name]" or "[kind]"; the
// Header field holds it without the brackets.
type Section struct {
	file *File
	ini  *ini.Section
	line int
	// keyLines maps each key to its line.
	keyLines map[string]int
	// read holds the keys that Get and Require were called for.
	read map[string]bool

	Header string
	Kind   string
	Name   string
}

// Parse parses text; name is the file name for error messages. Syntax errors are
// reported by File.Err.
func Parse(name string, text []byte) *File {
	f := &File{name: name}
	f.scanLines(string(text))
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
		f.addProblem(Problem{Found: err.Error(), Accepted: "INI text"})
		return f
	}
	for _, s := range f.sections {
		s.ini = loaded.Section(s.Header)
	}
	return f
}

// scanLines records the lines of sections and keys and rejects syntax that this
// format excludes. The INI library does not report line numbers.
func (f *File) scanLines(text string) {
	var current *Section
	headerLines := make(map[string]int)
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = f.scanSection(line, i+1, headerLines)
		default:
			f.scanKey(current, line, i+1)
		}
	}
}

// scanSection adds the section with the header in line, or a problem and returns nil.
func (f *File) scanSection(line string, lineNumber int, headerLines map[string]int) *Section {
	if !strings.HasSuffix(line, "]") || len(line) < 3 {
		f.addProblem(Problem{Line: lineNumber, Found: quote(line), Accepted: "[kind] or [kind name]"})
		return nil
	}
	header := line[1 : len(line)-1]
	kind, name, _ := strings.Cut(header, " ")
	if header != strings.Join(strings.Fields(header), " ") || header == "DEFAULT" {
		f.addProblem(Problem{Line: lineNumber, Section: header, Found: quote(line), Accepted: "[kind] or [kind name], separated by one space"})
		return nil
	}
	if first, ok := headerLines[header]; ok {
		found := fmt.Sprintf("a duplicate section; first defined on line %d", first)
		f.addProblem(Problem{Line: lineNumber, Section: header, Found: found, Accepted: "one section with this header"})
	}
	headerLines[header] = lineNumber
	s := &Section{
		file: f, line: lineNumber, Header: header, Kind: kind, Name: name,
		keyLines: make(map[string]int), read: make(map[string]bool),
	}
	f.sections = append(f.sections, s)
	return s
}

// scanKey records the line of a key. s is nil if no section precedes it.
func (f *File) scanKey(s *Section, line string, lineNumber int) {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if s == nil {
		f.addProblem(Problem{Line: lineNumber, Found: quote(line), Accepted: "a section header before the first key"})
		return
	}
	if !ok || key == "" || strings.ContainsAny(key, "\"`' ") || strings.ContainsAny(value, "\"`\x00") {
		f.addProblem(Problem{Line: lineNumber, Section: s.Header, Found: quote(line), Accepted: "key = value without quotes"})
		return
	}
	if first, ok := s.keyLines[key]; ok {
		found := fmt.Sprintf("a duplicate key; first defined on line %d", first)
		f.addProblem(Problem{Line: lineNumber, Section: s.Header, Key: key, Found: found, Accepted: "one line with this key"})
		return
	}
	s.keyLines[key] = lineNumber
}

func (f *File) addProblem(p Problem) {
	p.File = f.name
	f.problems = append(f.problems, p)
}

// Reject adds a problem without a line, such as a missing section or a reference
// to a section that does not exist.
func (f *File) Reject(section, found, accepted string) {
	f.addProblem(Problem{Section: section, Found: found, Accepted: accepted})
}

// Sections returns the sections in file order, or none if the file has problems.
func (f *File) Sections() []*Section {
	if len(f.problems) > 0 {
		return nil
	}
	return append([]*Section(nil), f.sections...)
}

// Err returns a *ProblemsError with all problems found so far, or nil.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	problems := slices.Clone(f.problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &ProblemsError{Problems: problems}
}

// RejectHeader adds a problem at the line of the section header.
func (s *Section) RejectHeader(found, accepted string) {
	s.file.addProblem(Problem{Line: s.line, Section: s.Header, Found: found, Accepted: accepted})
}

// RejectKey adds a problem at the line of the key, or of the section header if the
// section lacks the key.
func (s *Section) RejectKey(key, found, accepted string) {
	line, ok := s.keyLines[key]
	if !ok {
		line = s.line
	}
	s.file.addProblem(Problem{Line: line, Section: s.Header, Key: key, Found: found, Accepted: accepted})
}

// Has reports whether the section contains the key.
func (s *Section) Has(key string) bool {
	_, ok := s.keyLines[key]
	return ok
}

// RejectUnknownKeys rejects every key that neither Get nor Require has read;
// the keys that they asked for are listed as accepted.
func (s *Section) RejectUnknownKeys() {
	known := make([]string, 0, len(s.read))
	for key := range s.read {
		known = append(known, key)
	}
	slices.Sort(known)
	unknown := make([]string, 0)
	for key := range s.keyLines {
		if !s.read[key] {
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
