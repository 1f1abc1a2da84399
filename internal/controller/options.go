package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"oakpick/internal/autoscaling"
	"oakpick/internal/config"
	"oakpick/internal/scheduling"
	"oakpick/internal/storage"
)

// Options are the settings that operators can change at run time. Their ranges exclude meaningless
// values; none of them limits the size of a fleet.
type Options struct {
	WriteShare          float64 `json:"write_share" validate:"gte=0.05,lte=0.95"`
	SampleSize          int     `json:"sample" validate:"gte=1,lte=1000000"`
	IdleTimeoutS        float64 `json:"idle_s" validate:"gte=0,lte=86400"`
	HeadroomStdDevs     float64 `json:"warm_room" validate:"gte=0,lte=20"`
	MaxPreemptionCostS  float64 `json:"preempt_most_s" validate:"gte=0,lte=1000000"`
	BootTimeoutMultiple float64 `json:"give_up_boots" validate:"gte=1.5,lte=1000"`
	FailoverWaitS       float64 `json:"takeover_wait_s" validate:"gte=0,lte=3600"`
	MaxMovesPerMin      float64 `json:"moves_per_min" validate:"gte=0,lte=60000000"`
}

// DefaultOptions derives the default options from the configuration.
func DefaultOptions(cfg *config.Config) Options {
	w := cfg.Settings.Workers
	return Options{
		WriteShare: 0.95, SampleSize: 64, IdleTimeoutS: 0, HeadroomStdDevs: 3,
		MaxPreemptionCostS: 50 * w.LeaseS, BootTimeoutMultiple: 4, FailoverWaitS: 1.5 * w.HeartbeatIntervalS, MaxMovesPerMin: 6 * cfg.Settings.State.Smallest().WriteRPS,
	}
}

var optionsValidator = sync.OnceValue(func() *validator.Validate { return config.NewValidator("json") })

// With returns the options with the settings in a JSON object applied. If any of them is invalid,
// it returns an error and the options unchanged.
func (o Options) With(patch []byte) (Options, error) {
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(patch, &settings); err != nil {
		return o, fmt.Errorf("not a JSON object of settings: %w", err)
	}
	if len(settings) == 0 {
		return o, &OptionsError{[]string{"no setting is named"}}
	}
	changed := o
	var problems []string
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if err := changed.setField(name, settings[name]); err != nil {
			problems = append(problems, err.Error())
		}
	}
	problems = append(problems, changed.rangeErrors()...)
	if len(problems) > 0 {
		return o, &OptionsError{problems}
	}
	return changed, nil
}

// setField sets the option with the given name.
func (o *Options) setField(name string, value json.RawMessage) error {
	if string(value) == "null" {
		return fmt.Errorf("%s: a null where a number belongs", name)
	}
	decoder := json.NewDecoder(bytes.NewReader(encodeJSON(map[string]json.RawMessage{name: value})))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(o)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: a %s where a %s belongs", name, typeError.Value, typeError.Type)
	}
	return err
}

// rangeErrors returns a message for each option that is out of range.
func (o *Options) rangeErrors() (problems []string) {
	var fields validator.ValidationErrors
	if err := optionsValidator().Struct(o); errors.As(err, &fields) {
		for _, f := range fields {
			problems = append(problems, fmt.Sprintf("%s: out of range (%s %s)", f.Field(), f.Tag(), f.Param()))
		}
	}
	return problems
}

// OptionsError lists all problems of a requested change of options.
type OptionsError struct{ Problems []string }

func (e *OptionsError) Error() string { return strings.Join(e.Problems, "; ") }

func (o Options) scheduling() scheduling.Options {
	return scheduling.Options{SampleSize: o.SampleSize, MaxPreemptionCostS: o.MaxPreemptionCostS}
}

func (o Options) autoscaling() autoscaling.Options {
	return autoscaling.Options{
		IdleTimeoutS: o.IdleTimeoutS, HeadroomStdDevs: o.HeadroomStdDevs, BootTimeoutMultiple: o.BootTimeoutMultiple, FailoverWaitS: o.FailoverWaitS, MaxMovesPerMin: o.MaxMovesPerMin,
	}
}

// activeOptions holds the options in force, and their stored record if operators have changed any.
type activeOptions struct {
	Options
	record *optionsRecord
}

// applyOptions puts new options in force in all components.
func (l *leader) applyOptions(options Options) {
	l.options.Options = options
	l.store.SetWriteRate(l.controller.config.Settings.State.Smallest().WriteRPS * options.WriteShare)
	l.scheduler.SetOptions(options.scheduling())
	l.autoscaler.SetOptions(options.autoscaling())
	l.state.NeedsScheduling = true
}

// optionsRecord is the stored record of the options that operators have changed.
type optionsRecord struct{ text string }

// AppendTo adds the record to a page.
func (o *optionsRecord) AppendTo(page *storage.PageValue) { page.Options = o.text }

// EncodedSize returns the maximum size of a record in which every option is set.
func (*optionsRecord) EncodedSize() int { return storage.OptionsReservedSize }

// ReservedSize returns the space that is reserved on the page so that every option can be changed.
func (*optionsRecord) ReservedSize() int { return storage.OptionsReservedSize }
