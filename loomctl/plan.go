package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/sergi/go-diff/diffmatchpatch"

	"loomgap/tier/config"
	"loomgap/tier/prog"
	"loomgap/tier/query"
)

type planCommand struct {
	connection
	command  string
	file     string
	from     string
	revision uint64
	out      string
}

func newPlanCommand() prog.Command {
	c := &planCommand{}
	return c.hostCommand(prog.Command{
		Name: "plan", Synopsis: "apply commands to the current configuration and print the resulting document",
		Usage: "loomctl plan -Command 'set class Search deadline=250ms' [-Out FILE] [-From FILE -Revision N]\n" +
			"The document is not published: publish it with the platform's own tools.\n",
		Flags: c.flags, Run: c.run,
	})
}

func (c *planCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.command, "Command", "", "`commands`, separated by semicolons")
	f.StringVar(&c.file, "File", "", "`file` of commands")
	f.StringVar(&c.from, "From", "", "`file` of the document to change, instead of the current configuration")
	f.Uint64Var(&c.revision, "Revision", 0, "newest published `revision`; used with -From")
	f.StringVar(&c.out, "Out", "", "`file` for the resulting document; standard output if empty")
}

func (c *planCommand) run(ctx context.Context, _ *flag.FlagSet) subcommands.ExitStatus {
	if err := c.plan(ctx); err != nil {
		return fail(err)
	}
	return exitComplete
}

func (c *planCommand) plan(ctx context.Context) error {
	statements, err := c.statements()
	if err != nil {
		return err
	}
	d, newest, err := c.baseDocument(ctx)
	if err != nil {
		return err
	}
	before, err := config.Encode(d)
	if err != nil {
		return err
	}
	shown, err := query.Apply(d, statements)
	if err != nil {
		return err
	}
	for _, line := range shown {
		fmt.Println(line)
	}
	if len(shown) > 0 && onlyShows(statements) {
		return nil
	}
	d.Based = newest
	if err := config.Check(d, newest+1); err != nil {
		return fmt.Errorf("commands result in an invalid document: %w", err)
	}
	after, err := config.Encode(d)
	if err != nil {
		return err
	}
	if len(after) > config.MaxBytes {
		return fmt.Errorf("document has %d bytes (keep it within %d)", len(after), config.MaxBytes)
	}
	fmt.Fprint(os.Stderr, lineDiff(string(before), string(after)))
	return c.write(after)
}

// statements parses the commands of -File or -Command.
func (c *planCommand) statements() ([]*query.Statement, error) {
	text := c.command
	if c.file != "" {
		t, err := os.ReadFile(c.file)
		if err != nil {
			return nil, fmt.Errorf("read commands: %w (give a file of commands)", err)
		}
		text = string(t)
	}
	s, err := query.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(s) == 0 {
		return nil, fmt.Errorf("no commands (use -Command or -File)")
	}
	return s, nil
}

// onlyShows reports whether no statement changes the document.
func onlyShows(statements []*query.Statement) bool {
	return !slices.ContainsFunc(statements, func(s *query.Statement) bool { return s.Show == nil })
}

// baseDocument returns the document to change and the newest published revision.
func (c *planCommand) baseDocument(ctx context.Context) (*config.Document, uint64, error) {
	if c.from != "" {
		d, err := readDocument(c.from)
		return d, c.revision, err
	}
	r, err := c.ops().Document(ctx)
	if err != nil {
		return nil, 0, fmt.Errorf("get current document: %w (check -Operate, or use -From)", err)
	}
	if r.Revision == 0 {
		return &config.Document{}, r.Newest, nil
	}
	d, err := config.Decode([]byte(r.Document))
	return d, r.Newest, err
}

func (c *planCommand) write(text []byte) error {
	if c.out == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	if err := os.WriteFile(c.out, text, 0o644); err != nil {
		return fmt.Errorf("write document: %w (give a file that can be written)", err)
	}
	return nil
}

// lineDiff returns the added and removed lines, marked with "+ " and "- ".
func lineDiff(before, after string) string {
	m := diffmatchpatch.New()
	a, b, lines := m.DiffLinesToChars(before, after)
	var out bytes.Buffer
	for _, d := range m.DiffCharsToLines(m.DiffMain(a, b, false), lines) {
		mark := map[diffmatchpatch.Operation]string{diffmatchpatch.DiffInsert: "+ ", diffmatchpatch.DiffDelete: "- "}[d.Type]
		if mark == "" {
			continue
		}
		for line := range bytes.Lines([]byte(d.Text)) {
			out.WriteString(mark)
			out.Write(line)
		}
	}
	return out.String()
}
