package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// LoadTOML decodes a TOML file into a struct and validates it by its validate tags. The error
// joins one *FieldError per key that is unknown or out of range, each on its own line.
func LoadTOML(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	metadata, err := toml.Decode(string(text), into)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var problems []error
	for _, key := range metadata.Undecoded() {
		problems = append(problems, &FieldError{File: path, Field: key.String(), Err: errUnknownKey})
	}
	return errors.Join(append(problems, checkFields(path, "toml", into)...)...)
}
