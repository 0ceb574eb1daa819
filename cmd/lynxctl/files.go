package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"lynxhill.example/lynxhill/internal/profile"
)

// readProfile reads and checks a file.
func readProfile(env *environment, file string) (profile.Profile, error) {
	text, err := readFile(env, file)
	if err != nil {
		return profile.Profile{}, err
	}
	p, err := profile.Parse(text)
	if err != nil {
		return profile.Profile{}, usagef("%s: %w", file, err)
	}
	err = profile.Validate(p)
	if invalid, ok := err.(*profile.InvalidError); ok {
		return p, usagef("%s", strings.Join(problemLines(file, invalid), "\n"))
	}
	return p, err
}

func problemLines(file string, invalid *profile.InvalidError) []string {
	lines := make([]string, 0, len(invalid.Problems))
	for _, problem := range invalid.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", file, problem.Path, problem.Message))
	}
	return lines
}

// maxFileBytes bounds what is read: a mistaken name should not fill the memory.
const maxFileBytes = 16 << 20

func readFile(env *environment, file string) ([]byte, error) {
	in := env.stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, &usageError{err}
		}
		defer opened.Close()
		in = opened
	}
	text, err := io.ReadAll(io.LimitReader(in, maxFileBytes))
	if err != nil {
		return nil, &usageError{err}
	}
	return text, nil
}
