package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLineBytes limits the length of a line in a log file.
const maxLogLineBytes = 1 << 20

func addHistory(app *kingpin.Application, c *gatewayClient) {
	command := app.Command("history", "Shows the log lines of several processes about one job or request, ordered by time.")
	id := command.Arg("id", "Id of the job or request.").Required().String()
	files := command.Flag("file", "Log file; may be repeated. Without it, standard input is read.").ExistingFiles()
	command.Action(func(*kingpin.ParseContext) error {
		h := &history{id: *id}
		if err := h.readAll(*files, os.Stdin); err != nil {
			return err
		}
		return h.write(c.out)
	})
}

// history collects the log lines about one id.
type history struct {
	id          string
	lines       []logLine
	lossNotices []logLine // lines that report lost log lines
}

// logLine is a parsed log line. Lines with the same time, which has a resolution of one second,
// stay in the order in which they were read. The clocks of the processes may differ.
type logLine struct {
	time    string
	vm      string
	role    string
	message string
	fields  map[string]any
}

func (h *history) readAll(files []string, stdin io.Reader) error {
	if len(files) == 0 {
		return h.read(stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = h.read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (h *history) read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		h.add(scanner.Text())
	}
	return scanner.Err()
}

// add keeps a line if it contains the id or reports lost log lines. Text before the JSON object,
// such as the prefix of a log collector, is ignored.
func (h *history) add(text string) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return
	}
	containsID := strings.Contains(text, h.id)
	reportsLoss := strings.Contains(text, "were dropped") || strings.Contains(text, "were not logged")
	if !containsID && !reportsLoss {
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return // not a log line
	}
	line := logLine{time: removeString(fields, "time"), vm: removeString(fields, "vm"), role: removeString(fields, "role"), message: removeString(fields, "message"), fields: fields}
	if reportsLoss {
		h.lossNotices = append(h.lossNotices, line)
		return
	}
	h.lines = append(h.lines, line)
}

// removeString deletes the named field and returns its value, or "" if it is not a string.
func removeString(fields map[string]any, name string) string {
	value, ok := fields[name].(string)
	delete(fields, name)
	if !ok {
		return ""
	}
	return value
}

func (h *history) write(to io.Writer) error {
	slices.SortStableFunc(h.lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	if len(h.lines) == 0 {
		return fmt.Errorf("no log line contains %q", h.id)
	}
	for _, line := range h.lines {
		if _, err := fmt.Fprintln(to, line.time, line.vm, line.role, line.message, line.fieldText()); err != nil {
			return err
		}
	}
	for _, line := range h.lossNotices {
		if _, err := fmt.Fprintln(to, "incomplete:", line.time, line.vm, line.role, line.message, line.fieldText()); err != nil {
			return err
		}
	}
	return nil
}

// fieldText returns the remaining fields as name=value pairs, without the level.
func (l logLine) fieldText() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if name != "level" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
