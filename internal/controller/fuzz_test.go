package controller_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// fuzzSeeds is the number of drawn inputs that every run of the tests tries, beside the listed ones.
const fuzzSeeds = 60

// drawAmount draws an amount that may be none, tiny, ordinary or huge.
func drawAmount(random *rand.Rand) float64 {
	amounts := []float64{0, 0, 1e-9, 0.01, 0.5, 1, 2, 4, 8, 64, 1e9, 1e300}
	return amounts[random.IntN(len(amounts))]
}

// No accepted submission may end a controller or keep the others from being served, also while the
// leader changes and the cloud refuses every request.
func FuzzSubmission(f *testing.F) {
	f.Add(uint8(0), uint32(1), 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, uint8(0))
	f.Add(uint8(1), uint32(3), 0.0, 0.0, 0.0, 1.0, 1e300, 1e300, 1e300, uint8(0xff))
	f.Add(uint8(2), uint32(100_000), 1e-9, 0.0, 0.0, 1e300, 0.0, 1e-9, 0.0, uint8(4))
	random := rand.New(rand.NewPCG(1, 0))
	for range fuzzSeeds {
		f.Add(uint8(random.IntN(3)), 1+random.Uint32N(80), drawAmount(random), drawAmount(random), drawAmount(random), drawAmount(random),
			drawAmount(random), drawAmount(random), drawAmount(random), uint8(random.IntN(256)))
	}
	f.Fuzz(func(t *testing.T, kind uint8, tasks uint32, cpus, gpus, memoryGB, imageGB, runS, checkpointS, deadlineS float64, flags uint8) {
		has := func(bit int) bool { return flags&(1<<bit) != 0 }
		s := protocol.Submission{
			ID: "wk-000002", Class: "c", Team: "blue", Kind: protocol.JobKind(kind % 3), Priority: protocol.Priority(flags % 4), Tasks: int(tasks),
			CPUs: cpus, GPUs: gpus, MemoryGB: memoryGB, Image: "img", ImageGB: imageGB, OneZone: has(2), Spread: has(3), Spot: has(4),
			EstimatedRunS: runS, CheckpointIntervalS: checkpointS, CheckpointDurationS: checkpointS, DeadlineS: deadlineS,
		}
		if has(5) {
			s.Team = "red"
		}
		decoded, err := protocol.DecodeSubmission(protocol.EncodeSubmission(&s))
		if err != nil {
			return
		}
		w := newWorld(t)
		first := service(1, 2)
		first.Priority = protocol.Production
		other := w.Submit(first, 0)
		waitRunning(t, w, first.ID, first.Tasks)
		w.Submit(*decoded, time.Second)
		w.Run(8 * time.Second)
		w.Cloud.RefuseRequests = has(6)
		crashLeader(w, 2*time.Second)
		w.Run(8 * time.Second)
		w.Cloud.RefuseRequests = false
		crashLeader(w, 2*time.Second)
		runAndPoll(w, 10*time.Second)
		requireNoViolations(t, w)
		if other.Status != protocol.StatusRunning {
			t.Errorf("another job has status %q\n%s", other.Status, logTail(w, 40))
		}
	})
}

// No stored records of a job may end a controller. If the records can be decoded at all, a controller
// leads and serves the other jobs.
func FuzzStoredRecords(f *testing.F) {
	f.Add(uint8(0), uint32(1), 0.0, uint32(0), uint32(0), int64(1), "", "", uint32(0))
	f.Add(uint8(1), uint32(30), 1.0, uint32(2), uint32(29), int64(1<<62), "ff", "zz", uint32(5))
	f.Add(uint8(2), uint32(60), 0.1, uint32(1), uint32(24), int64(-1), "02", "ff", uint32(24))
	random := rand.New(rand.NewPCG(2, 0))
	bitmaps := []string{"", "01", "ff", "ffffff", "zz", "f", "00000001"}
	for range fuzzSeeds {
		f.Add(uint8(random.IntN(3)), 1+random.Uint32N(80), drawAmount(random), random.Uint32N(6), random.Uint32N(90), random.Int64N(9)-1,
			bitmaps[random.IntN(len(bitmaps))], bitmaps[random.IntN(len(bitmaps))], random.Uint32N(3)*random.Uint32N(40))
	}
	f.Fuzz(func(t *testing.T, kind uint8, tasks uint32, cpus float64, block, started uint32, attempt int64, completed, done string, blockTasks uint32) {
		const id = "wk-000002"
		page := storage.PageValue{
			WriteID: "earlier",
			Jobs: []storage.JobRecord{{
				ID: id, Class: "c", Team: "red", Image: "img", Kind: protocol.JobKind(kind % 3), Priority: protocol.Normal, Tasks: int(tasks), CPUs: cpus,
				MemoryGB: cpus, AnyType: true, SubmittedMs: 1, GangAttempt: attempt, CompletedBlocks: completed,
			}},
			Blocks: []storage.BlockRecord{{
				Job: id, Block: int(block), LastAttempt: attempt, Done: done,
				Starts: []storage.StartRecord{{Task: int(started), Attempt: attempt, Machine: "i-000099", Incarnation: 1}},
			}},
			Extensions: []storage.JobExtension{{Job: id, BlockTasks: int(blockTasks)}},
		}
		value := protocol.Encode(page)
		key := storage.PagePrefix + "000000"
		_, err := storage.DecodePages([]protocol.Entry{{Key: key, Value: value, Version: 1}})
		w := newWorldFromPages(map[string][]byte{key: value})
		other := w.Submit(service(1, 2), 0)
		w.Run(10 * time.Second)
		if err != nil {
			return // the records can't be decoded
		}
		waitLeader(t, w, 10*time.Second)
		w.Leader().Request(message.UserRequest{Kind: message.Cancel, Job: id}, func(message.Reply) {})
		w.Run(5 * time.Second)
		crashLeader(w, 2*time.Second)
		runAndPoll(w, 20*time.Second)
		if other.Status != protocol.StatusRunning {
			t.Errorf("another job has status %q\n%s", other.Status, logTail(w, 30))
		}
		requireCountsMatch(t, w)
	})
}

// requireCountsMatch fails if a leader's task counts are wrong.
func requireCountsMatch(t *testing.T, w *fake.World) {
	t.Helper()
	if leader := w.Leader(); leader != nil {
		if err := leader.Controller().CheckCounts(); err != nil {
			t.Fatal(err)
		}
	}
}
