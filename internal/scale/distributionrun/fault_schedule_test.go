package distributionrun

import (
	"errors"
	"testing"
	"time"
)

func TestParseFault(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       scheduledFault
	}{
		{"whole part", "kill@1", scheduledFault{killAgentFault, 1}},
		{"fraction", "cut@0.25", scheduledFault{truncatedResponsesFault, 0.25}},
		{"at once", "version@0", scheduledFault{newVersionFault, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := parseFault(test.text)
			if err != nil || got != test.want {
				t.Errorf("got %v and error %v, want %v", got, err, test.want)
			}
			if got.String() != test.text {
				t.Errorf("String returned %s", got)
			}
		})
	}
	for _, text := range []string{"", "kill", "kill@", "kill@soon", "kill@-1", "kill@11", "kill@NaN@1", "flood@1", "@1"} {
		t.Run("refused "+text, func(t *testing.T) {
			var syntax *FaultSyntaxError
			if _, err := parseFault(text); !errors.As(err, &syntax) || syntax.Text != text {
				t.Errorf("error is %v, want a FaultSyntaxError with the text", err)
			}
		})
	}
}

func TestFaultDelayIsMultipleOfAloneTime(t *testing.T) {
	if got := (scheduledFault{killLeaderFault, 0.5}).delay(3 * time.Second); got != 1500*time.Millisecond {
		t.Errorf("delay is %v", got)
	}
}
