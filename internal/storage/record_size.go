package storage

import "strconv"

// Sizes of records in JSON, which is how the state service counts, never less than
// the true ones.
const (
	maxIntegerSize     = 21 // any integer, and the comma behind it
	boolSize           = 6
	maxMachineNameSize = 40  // a machine's name, at most
	pageOverhead       = 128 // the page's own braces, names and write id

	// StartReservedSize is what a start is expected to take: a task and an attempt, a
	// machine's name, a session.
	StartReservedSize = 46

	// OptionsReservedSize is the space of the operators' settings, quotes escaped.
	OptionsReservedSize = 512
)

// textSize is the size of a string, its quotes and the comma behind it.
func textSize(s string) int {
	n := 3
	for _, c := range []byte(s) {
		if c < 0x20 || c > 0x7e || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += 6
		} else {
			n++
		}
	}
	return n
}

func textSizes(texts ...string) int {
	n := 0
	for _, s := range texts {
		n += textSize(s)
	}
	return n
}

// floatSize is the size of an amount, written with or without an exponent.
func floatSize(f float64) int {
	const point = 2 // whole numbers may be written as 8.0
	return min(24, len(strconv.FormatFloat(f, 'f', -1, 64))+point+1)
}

func integerSize(i int64) int { return len(strconv.FormatInt(i, 10)) + 1 }

// bitmapSize is the size of a set of so many bits.
func bitmapSize(bits int) int { return bits/4 + 8 }

// ReservedSize is the space a job's description may take.
func (r *JobRecord) ReservedSize(blocks int) int {
	const brackets, bools, words, integers = 4, 5, 2, 3 // the words are the shape and the priority
	n := brackets + bools*boolSize + words*2 + integers*maxIntegerSize + bitmapSize(blocks)
	for _, f := range []float64{r.CPUs, r.GPUs, r.MemoryGB, r.ImageGB, r.EstimatedRunS, r.CheckpointIntervalS, r.CheckpointDurationS, r.DeadlineS} {
		n += floatSize(f)
	}
	return n + textSizes(r.ID, r.Class, r.Team, r.Image, r.Zone) + textSizes(r.Types...)
}

// EncodedSize is the space a job's extension takes.
func (r *JobExtension) EncodedSize() int {
	const brackets = 6
	return brackets + textSize(r.Job) + integerSize(int64(r.BlockTasks)) + textSizes(r.Prerequisites...)
}

// EncodedSize is the space that a part of a job's prerequisites takes.
func (r *PrerequisitesRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSize(r.Job) + integerSize(int64(r.Part)) + textSizes(r.IDs...)
}

// SplitPrerequisites divides a job's prerequisites into records of no more than so many
// bytes.
func SplitPrerequisites(job string, ids []string, most int) []PrerequisitesRecord {
	var parts []PrerequisitesRecord
	for _, id := range ids {
		last := len(parts) - 1
		if last < 0 || parts[last].EncodedSize()+textSize(id) > most {
			parts = append(parts, PrerequisitesRecord{Job: job, Part: len(parts)})
			last++
		}
		parts[last].IDs = append(parts[last].IDs, id)
	}
	return parts
}

// EncodedSize is the space that a start takes.
func (r *StartRecord) EncodedSize() int {
	const brackets = 3
	return brackets + integerSize(int64(r.Task)) + integerSize(r.Attempt) + textSize(r.Machine) + integerSize(r.Incarnation)
}

// BlockSize is the space that a block of so many tasks takes without its starts.
func BlockSize(job string, tasks int) int {
	const brackets = 6
	return brackets + textSize(job) + 2*maxIntegerSize + bitmapSize(tasks)
}

// ReservedSize is the space of a finished job.
func (r *TerminalRecord) ReservedSize() int {
	const brackets = 3
	return brackets + textSize(r.ID) + boolSize + integerSize(int64(r.Tasks))
}

// EncodedSize is the space that a rental takes as it is.
func (r *ProvisioningRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSizes(r.RequestID, r.Type, r.Zone) + 2*boolSize + 2*maxIntegerSize + textSizes(r.Machines...)
}

// ReservedSize is the space of a rental and its answer.
func (r *ProvisioningRecord) ReservedSize() int {
	return max(r.EncodedSize(), r.EncodedSize()+(r.Count-len(r.Machines))*maxMachineNameSize)
}

// blockStartSize is the size by which blocks are cut. It is part of the format: jobs
// of earlier versions have their blocks cut by it.
const blockStartSize = 82

// BlockTasks is how many tasks a block holds: as many as let it fill at most
// half a page.
func BlockTasks(pageBytes int) int { return max(4, min(64, pageBytes/2/blockStartSize)) }
