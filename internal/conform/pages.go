package conform

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// Page is a page of the operators' specification whose sentences are covered by the tables.
type Page struct {
	Name     string   // first part of the ids of its sentences
	Path     string   // relative to the directory in CONFORM_PAGES
	Sections []string // headings of the covered sections; empty: the whole page
}

// Pages are the covered pages. They are not part of the repository; the index holds a hash of each sentence instead.
var Pages = []Page{
	{"design", "docs/DESIGN-beechdale.md", nil},
	{"protocol", "docs/PROTOCOL-beechdale.md", []string{"The rules on sockets", "Figures"}},
	{"standing", "kit/more/mass/STANDING.md", []string{"Days at full size", "What has to hold", "Few sidecars, narrow moments"}},
	{"terms", "docs/TERMS-beechdale.md", nil},
}

// Sentence is one sentence of a page.
type Sentence struct {
	ID   string // page/section-number, by the sentence's current position
	Hash string // of the text with normalised white space
}

// Patterns of the elements of a page, which is in Markdown.
var (
	heading     = regexp.MustCompile(`^#+\s+(.*)$`)
	listItem    = regexp.MustCompile(`^\s*([-*]|\d+\.)\s+`)
	sentenceEnd = regexp.MustCompile("[.!?:]\\)?\\s+[A-Z`\"(]")
	sectionWord = regexp.MustCompile(`[a-z0-9]+`)
)

// SplitSentences splits a page into its sentences. Each paragraph, list item and table row begins a sentence. A sentence
// ends at a full stop, colon, exclamation or question mark that precedes a capital letter, a quotation mark, a backquote
// or a bracket. Indented examples and the separator lines of tables are skipped.
func SplitSentences(p Page, text string) (all []Sentence) {
	section, counts := "top", make(map[string]int)
	wanted := len(p.Sections) == 0
	var block []string
	flush := func() {
		rest := strings.Join(strings.Fields(strings.Join(block, " ")), " ")
		block = nil
		for wanted && rest != "" {
			one := rest
			if at := sentenceEnd.FindStringIndex(rest); at != nil {
				one = rest[:at[1]-1]
			}
			rest = strings.TrimSpace(rest[len(one):])
			counts[section]++
			sum := sha256.Sum256([]byte(strings.TrimSpace(one)))
			all = append(all, Sentence{fmt.Sprintf("%s/%s-%d", p.Name, section, counts[section]), hex.EncodeToString(sum[:8])})
		}
	}
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		switch m := heading.FindStringSubmatch(line); {
		case m != nil:
			flush()
			section = ""
			for _, word := range sectionWord.FindAllString(strings.ToLower(m[1]), -1) { // the section is named by the longest word of its heading
				if len(word) > len(section) {
					section = word
				}
			}
			wanted = len(p.Sections) == 0
			for _, s := range p.Sections {
				wanted = wanted || s == m[1]
			}
		case strings.TrimSpace(line) == "", strings.HasPrefix(line, "    "), strings.HasPrefix(line, "| --"):
			flush()
		case strings.HasPrefix(line, "|"):
			flush()
			block = []string{strings.Trim(line, "| ")}
			flush()
		case listItem.MatchString(line):
			flush()
			block = []string{listItem.ReplaceAllString(line, "")}
		default:
			block = append(block, line)
		}
	}
	flush()
	return all
}
