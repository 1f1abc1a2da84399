package storage

import "strconv"

// Sizes of records in bytes of JSON, which is how the state service counts. They are upper
// bounds.
const (
	maxIntegerSize     = 21 // any integer, and the comma after it
	boolSize           = 6
	maxMachineNameSize = 40
	pageOverhead       = 128 // the page's own braces, names and write id

	// StartReservedSize is what a start is expected to take: the task, the attempt, a
	// machine's name and its incarnation.
	StartReservedSize = 46

	// OptionsReservedSize is the space of the operators' options, quotes escaped.
	OptionsReservedSize = 512

	// blockStartSize is the size of a start from which the length of blocks follows. It
	// is part of the format: the blocks of jobs from earlier versions have that length.
	blockStartSize = 82
)

// textSize is the size of a string, its quotes and the comma after it.
func textSize(s string) int {
	const quotesAndComma, escaped = 3, 6
	n := quotesAndComma
	for _, c := range []byte(s) {
		if c < 0x20 || c > 0x7e || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += escaped
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

// floatSize is the size of an amount, written with or without an exponent, and the comma
// after it.
func floatSize(f float64) int {
	const point = 2 // whole numbers may be written as 8.0
	const longest = 24
	return min(longest, len(strconv.FormatFloat(f, 'f', -1, 64))+point+1)
}

// integerSize is the size of a known integer and the comma after it.
func integerSize(i int64) int { return len(strconv.FormatInt(i, 10)) + 1 }

// bitmapSize is the size of a Bitmap of the given number of bits.
func bitmapSize(bits int) int { return bits/4 + 8 }

// ReservedSize is the space that a job's description may grow to, given the number of the
// job's blocks.
func (r *JobRecord) ReservedSize(blocks int) int {
	// The short integers are the kind and the priority.
	const brackets, bools, shortIntegers, shortIntegerSize, integers = 4, 5, 2, 2, 3
	n := brackets + bools*boolSize + shortIntegers*shortIntegerSize + integers*maxIntegerSize + bitmapSize(blocks)
	for _, amount := range r.amounts() {
		n += floatSize(amount)
	}
	return n + textSizes(r.ID, r.Class, r.Team, r.Image, r.Zone) + textSizes(r.Types...)
}

// EncodedSize is the space that a job's extension takes.
func (r *JobExtension) EncodedSize() int {
	const brackets = 6
	return brackets + textSize(r.Job) + integerSize(int64(r.BlockTasks)) + textSizes(r.Prerequisites...)
}

// EncodedSize is the space that a part of a job's prerequisites takes.
func (r *PrerequisitesRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSize(r.Job) + integerSize(int64(r.Part)) + textSizes(r.IDs...)
}

// EncodedSize is the space that a start takes.
func (r *StartRecord) EncodedSize() int {
	const brackets = 3
	return brackets + integerSize(int64(r.Task)) + integerSize(r.Attempt) + textSize(r.Machine) + integerSize(r.Incarnation)
}

// BlockSize is the space that a block of the given number of tasks takes without its
// starts.
func BlockSize(job string, tasks int) int {
	const brackets = 6
	return brackets + textSize(job) + 2*maxIntegerSize + bitmapSize(tasks)
}

// ReservedSize is the space of a finished job.
func (r *TerminalRecord) ReservedSize() int {
	const brackets = 3
	return brackets + textSize(r.ID) + boolSize + integerSize(int64(r.Tasks))
}

// terminalRecordsSize is the space of a page of the archive with these records.
func terminalRecordsSize(records []TerminalRecord) int {
	n := pageOverhead
	for i := range records {
		n += records[i].ReservedSize()
	}
	return n
}

// EncodedSize is the space that a provisioning request takes as it is.
func (r *ProvisioningRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSizes(r.RequestID, r.Type, r.Zone) + 2*boolSize + 2*maxIntegerSize + textSizes(r.Machines...)
}

// ReservedSize is the space of a provisioning request with the names of all its machines.
func (r *ProvisioningRecord) ReservedSize() int {
	return max(r.EncodedSize(), r.EncodedSize()+(r.Count-len(r.Machines))*maxMachineNameSize)
}

// BlockTasks is how many tasks a block holds, given the bytes that a page may take: as
// many as let it fill at most half a page.
func BlockTasks(pageBytes int) int {
	const least, most = 4, 64
	return max(least, min(most, pageBytes/2/blockStartSize))
}

// SplitPrerequisites divides a job's prerequisites into records of at most maxBytes each,
// and at least one prerequisite.
func SplitPrerequisites(job string, ids []string, maxBytes int) []PrerequisitesRecord {
	var parts []PrerequisitesRecord
	for _, id := range ids {
		last := len(parts) - 1
		if last < 0 || parts[last].EncodedSize()+textSize(id) > maxBytes {
			parts = append(parts, PrerequisitesRecord{Job: job, Part: len(parts)})
			last++
		}
		parts[last].IDs = append(parts[last].IDs, id)
	}
	return parts
}
