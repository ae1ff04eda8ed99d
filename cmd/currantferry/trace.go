package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

func traceCommand() *command {
	return newCommand("trace", "what the logs of entry VMs say about one request", action{
		synopsis: "print the log lines of the request -id from the files, or from standard input, and what was known of its instance",
		setup: func(f *flag.FlagSet) runFunc {
			id := f.String("id", "", "id of the request")
			return func(_ context.Context, e *env, files []string) error {
				if *id == "" {
					return errors.New("-id is needed")
				}
				lines, err := readLogs(files)
				if err != nil {
					return err
				}
				return printTrace(e.out, lines, *id)
			}
		},
	})
}

// logLine is one line of an entry VM's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	VM      string    `json:"vm"`
	Event   int       `json:"event"`
	Request string    `json:"request"`
	// Instance is the instance in lines about a request, ID that in lines about
	// the state of an instance.
	Instance string `json:"instance"`
	ID       string `json:"id"`

	fields map[string]any
}

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

func readLogs(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return parseLogs(os.Stdin)
	}
	var out []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := parseLogs(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// parseLogs decodes the JSON object in each line. It ignores text before the
// object, such as the prefix of a log collector, and lines without an event.
func parseLogs(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		data := []byte("{" + object)
		var l logLine
		if json.Unmarshal(data, &l) != nil || json.Unmarshal(data, &l.fields) != nil || l.Event == 0 {
			continue
		}
		out = append(out, l)
	}
	return out, errors.Wrap(scanner.Err(), "read log")
}

// maxInstanceLines bounds the lines about the state of the instances that are printed
// before those of the request.
const maxInstanceLines = 3

// printTrace prints the lines of a request in order of time. Before them it prints
// the last lines that the same VMs logged, up to the end of the request, about the
// instances that the request was sent to.
func printTrace(w io.Writer, lines []logLine, id string) error {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].Time.Before(lines[b].Time) })
	var requestLines, instanceLines []logLine
	instances := make(map[string]bool)
	for _, l := range lines {
		if l.Request == id {
			requestLines = append(requestLines, l)
			instances[l.VM+"/"+l.Instance] = true
		}
	}
	if len(requestLines) == 0 {
		return errors.Errorf("no log line about request %s", id)
	}
	end := requestLines[len(requestLines)-1].Time
	for _, l := range lines {
		if l.Request == "" && l.ID != "" && instances[l.VM+"/"+l.ID] && !l.Time.After(end) {
			instanceLines = append(instanceLines, l)
		}
	}
	if excess := len(instanceLines) - maxInstanceLines; excess > 0 {
		instanceLines = instanceLines[excess:]
	}
	for _, l := range append(instanceLines, requestLines...) {
		fmt.Fprintf(w, "%s  %s  %d %s\n", l.Time.Format("15:04:05.000"), l.VM, l.Event, l.Message)
		names := make([]string, 0, len(l.fields))
		for name := range l.fields {
			switch name {
			case "time", "msg", "vm", "event", "level", "request":
			default:
				names = append(names, name)
			}
		}
		sort.Strings(names)
		for _, name := range names {
			if v := l.fields[name]; v != nil && v != "" {
				fmt.Fprintf(w, "    %s: %v\n", name, v)
			}
		}
	}
	return nil
}
