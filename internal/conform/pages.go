package conform

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// Page is a page whose sentences the tables stand for.
type Page struct {
	Name     string   // first part of its sentences' ids
	Path     string   // below the folder that the environment names
	Sections []string // the headings that count; none: all of the page
}

// Pages are all of them. They are the operators', and are not kept here: the index holds a hash of each sentence.
var Pages = []Page{
	{"design", "docs/DESIGN-beechdale.md", nil},
	{"protocol", "docs/PROTOCOL-beechdale.md", []string{"The rules on sockets", "Figures"}},
	{"standing", "kit/more/mass/STANDING.md", []string{"Days at full size", "What has to hold", "Few sidecars, narrow moments"}},
	{"terms", "docs/TERMS-beechdale.md", nil},
}

// Sentence is one sentence of a page.
type Sentence struct {
	ID   string // page/section-number, as it stands there now
	Hash string // of its words, whatever white space stands between them
}

var (
	heading     = regexp.MustCompile(`^#+\s+(.*)$`)
	listItem    = regexp.MustCompile(`^\s*([-*]|\d+\.)\s+`)
	sentenceEnd = regexp.MustCompile("[.!?:]\\)?\\s+[A-Z`\"(]")
	word        = regexp.MustCompile(`[a-z0-9]+`)
)

// Sentences cuts a page up. A paragraph, an entry of a list and a line of a table each begin a sentence; a full
// stop or colon with a capital behind it ends one. Indented examples and rules between table heads are none.
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
			for _, word := range word.FindAllString(strings.ToLower(m[1]), -1) { // its longest word is enough of a name
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
