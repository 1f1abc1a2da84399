package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
)

// LoadTOML reads a TOML file and checks it by the validate tags of what it fills. Its error
// names every key that is unknown or out of range, one a line.
func LoadTOML(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return ParseTOML(path, string(text), into)
}

// ParseTOML does the same with a text; name is for errors.
func ParseTOML(name, text string, into any) error {
	read, err := toml.Decode(text, into)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	var problems []error
	for _, key := range read.Undecoded() {
		problems = append(problems, fmt.Errorf("%s: %s: unknown key", name, key))
	}
	v := NewValidator("toml")
	var fields validator.ValidationErrors
	if err := v.Struct(into); errors.As(err, &fields) {
		for _, f := range fields {
			_, key, _ := strings.Cut(f.Namespace(), ".")
			problems = append(problems, fmt.Errorf("%s: %s: missing or out of range (%s)", name, key, rule(f)))
		}
	} else if err != nil {
		problems = append(problems, fmt.Errorf("%s: %w", name, err))
	}
	return errors.Join(problems...)
}

// NewValidator makes one that names fields as a file does, by such a tag.
func NewValidator(tag string) *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
		return name
	})
	return v
}
