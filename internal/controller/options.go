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

// Options are the figures that operators may change while it runs. Their ranges keep out what
// makes no sense; none of them bounds the size of a fleet.
type Options struct {
	WriteShare          float64 `json:"write_share" validate:"gte=0.05,lte=0.95"`
	SampleSize          int     `json:"sample" validate:"gte=1,lte=1000000"`
	IdleS               float64 `json:"idle_s" validate:"gte=0,lte=86400"`
	HeadroomStdDevs     float64 `json:"warm_room" validate:"gte=0,lte=20"`
	MaxPreemptionCostS  float64 `json:"preempt_most_s" validate:"gte=0,lte=1000000"`
	BootTimeoutMultiple float64 `json:"give_up_boots" validate:"gte=1.5,lte=1000"`
	FailoverWaitS       float64 `json:"takeover_wait_s" validate:"gte=0,lte=3600"`
	MovesPerMin         float64 `json:"moves_per_min" validate:"gte=0,lte=60000000"`
}

// DefaultOptions derives them from the settings.
func DefaultOptions(cfg *config.Config) Options {
	w := cfg.Settings.Workers
	return Options{
		WriteShare: 0.95, SampleSize: 64, IdleS: 0, HeadroomStdDevs: 3,
		MaxPreemptionCostS: 50 * w.LeaseS, BootTimeoutMultiple: 4, FailoverWaitS: 1.5 * w.HeartbeatIntervalS, MovesPerMin: 6 * cfg.Settings.State.Smallest().WriteRPS,
	}
}

var optionsValidator = sync.OnceValue(func() *validator.Validate { return config.NewValidator("json") })

// With changes the figures that a JSON object names, and checks them. Nothing is changed if any
// of them is at fault.
func (o Options) With(patch []byte) (Options, error) {
	var figures map[string]json.RawMessage
	if err := json.Unmarshal(patch, &figures); err != nil {
		return o, fmt.Errorf("not a JSON object of settings: %w", err)
	}
	if len(figures) == 0 {
		return o, &OptionsError{[]string{"no setting is named"}}
	}
	changed := o
	var problems []string
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		if err := changed.set(name, figures[name]); err != nil {
			problems = append(problems, err.Error())
		}
	}
	problems = append(problems, changed.outOfRange()...)
	if len(problems) > 0 {
		return o, &OptionsError{problems}
	}
	return changed, nil
}

// set changes one figure.
func (o *Options) set(name string, value json.RawMessage) error {
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

// outOfRange names the figures that are out of their ranges.
func (o *Options) outOfRange() (problems []string) {
	var fields validator.ValidationErrors
	if err := optionsValidator().Struct(o); errors.As(err, &fields) {
		for _, f := range fields {
			problems = append(problems, fmt.Sprintf("%s: out of range (%s %s)", f.Field(), f.Tag(), f.Param()))
		}
	}
	return problems
}

// OptionsError names everything that is wrong with a change.
type OptionsError struct{ Problems []string }

func (e *OptionsError) Error() string { return strings.Join(e.Problems, "; ") }

func (o Options) scheduling() scheduling.Options {
	return scheduling.Options{SampleSize: o.SampleSize, MaxPreemptionCostS: o.MaxPreemptionCostS}
}

func (o Options) autoscaling() autoscaling.Options {
	return autoscaling.Options{
		IdleS: o.IdleS, WarmRoom: o.HeadroomStdDevs, GiveUpBoots: o.BootTimeoutMultiple, FailoverWaitS: o.FailoverWaitS, MovesPerMin: o.MovesPerMin,
	}
}

// optionsHolder is the options in force, and their record if operators have changed any.
type optionsHolder struct {
	Options
	record *optionsRecord
}

// useOptions puts figures in force.
func (l *leader) useOptions(options Options) {
	l.options.Options = options
	l.store.SetWriteRate(l.controller.config.Settings.State.Smallest().WriteRPS * options.WriteShare)
	l.scheduler.SetOptions(options.scheduling())
	l.autoscaler.SetOptions(options.autoscaling())
	l.state.NeedsScheduling = true
}

// optionsRecord keeps what operators have changed, as facts are kept.
type optionsRecord struct{ text string }

// AppendTo writes it.
func (o *optionsRecord) AppendTo(page *storage.PageValue) { page.Options = o.text }

// EncodedSize is the space that every figure together may take.
func (*optionsRecord) EncodedSize() int { return storage.OptionsReservedSize }

// ReservedSize leaves room for every figure to be changed.
func (*optionsRecord) ReservedSize() int { return storage.OptionsReservedSize }
