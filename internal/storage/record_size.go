package storage

import "strconv"

// Sizes of records in bytes of JSON, the unit in which the state service measures values.
// They are upper bounds.
const (
	maxIntegerSize     = 21 // any integer and the following comma
	boolSize           = 6
	maxMachineNameSize = 40
	pageOverhead       = 128 // the page's own braces, field names and write ID

	// StartReservedSize is the expected size of a start: the task, the attempt, the machine's
	// name and its incarnation.
	StartReservedSize = 46

	// OptionsReservedSize is the size reserved for the options set by operators, with escaped quotes.
	OptionsReservedSize = 512

	// blockStartSize is the size of a start from which BlockTasks derives the number of tasks
	// in a block. It is part of the stored format: jobs accepted by earlier versions have
	// blocks of the resulting length.
	blockStartSize = 82
)

// textSize returns the size of a string with its quotes and the following comma.
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

// floatSize returns the size of a number, written with or without an exponent, and the
// following comma.
func floatSize(f float64) int {
	const point = 2 // whole numbers may be written with a decimal, as in 8.0
	const longest = 24
	return min(longest, len(strconv.FormatFloat(f, 'f', -1, 64))+point+1)
}

// integerSize returns the size of an integer with a known value and the following comma.
func integerSize(i int64) int { return len(strconv.FormatInt(i, 10)) + 1 }

// bitmapSize returns the size of a Bitmap with the given number of bits.
func bitmapSize(bits int) int { return bits/4 + 8 }

// ReservedSize returns the size that a job's record may grow to, given the number of its
// blocks.
func (r *JobRecord) ReservedSize(blocks int) int {
	// The short integers are Kind and Priority.
	const brackets, bools, shortIntegers, shortIntegerSize, integers = 4, 5, 2, 2, 3
	n := brackets + bools*boolSize + shortIntegers*shortIntegerSize + integers*maxIntegerSize + bitmapSize(blocks)
	for _, amount := range r.amounts() {
		n += floatSize(amount)
	}
	return n + textSizes(r.ID, r.Class, r.Team, r.Image, r.Zone) + textSizes(r.Types...)
}

// EncodedSize returns the size of a block.
func (r *BlockRecord) EncodedSize() int {
	const hexDigitBits = 4
	size := BlockSize(r.Job, len(r.Done)*hexDigitBits)
	for i := range r.Starts {
		size += r.Starts[i].EncodedSize()
	}
	return size
}

// EncodedSize returns the size of a job's extension.
func (r *JobExtension) EncodedSize() int {
	const brackets = 6
	return brackets + textSize(r.Job) + integerSize(int64(r.BlockTasks)) + textSizes(r.Prerequisites...)
}

// EncodedSize returns the size of one part of a job's prerequisites.
func (r *PrerequisitesRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSize(r.Job) + integerSize(int64(r.Part)) + textSizes(r.IDs...)
}

// EncodedSize returns the size of a start.
func (r *StartRecord) EncodedSize() int {
	const brackets = 3
	return brackets + integerSize(int64(r.Task)) + integerSize(r.Attempt) + textSize(r.Machine) + integerSize(r.Incarnation)
}

// BlockSize returns the size of a block with the given number of tasks, excluding its
// starts.
func BlockSize(job string, tasks int) int {
	const brackets = 6
	return brackets + textSize(job) + 2*maxIntegerSize + bitmapSize(tasks)
}

// ReservedSize returns the size of a terminal record.
func (r *TerminalRecord) ReservedSize() int {
	const brackets = 3
	return brackets + textSize(r.ID) + boolSize + integerSize(int64(r.Tasks))
}

// terminalRecordsSize returns the size of an archive page with these records.
func terminalRecordsSize(records []TerminalRecord) int {
	n := pageOverhead
	for i := range records {
		n += records[i].ReservedSize()
	}
	return n
}

// EncodedSize returns the current size of a provisioning request.
func (r *ProvisioningRecord) EncodedSize() int {
	const brackets = 5
	return brackets + textSizes(r.RequestID, r.Type, r.Zone) + 2*boolSize + 2*maxIntegerSize + textSizes(r.Machines...)
}

// ReservedSize returns the size of a provisioning request with the names of all its machines.
func (r *ProvisioningRecord) ReservedSize() int {
	return max(r.EncodedSize(), r.EncodedSize()+(r.Count-len(r.Machines))*maxMachineNameSize)
}

// leastBlockTasks and mostBlockTasks are the bounds of BlockTasks. They are part of the stored format,
// as blockStartSize is.
const leastBlockTasks, mostBlockTasks = 4, 64

// BlockTasks returns the number of tasks in a block, given the maximum size of a page in
// bytes: as many as fill at most half a page, within fixed bounds.
func BlockTasks(pageBytes int) int {
	return max(leastBlockTasks, min(mostBlockTasks, pageBytes/2/blockStartSize))
}

// SplitPrerequisites divides prerequisites of a job into records of at most maxBytes each, which
// are numbered from firstPart. A record has at least one prerequisite, even if that exceeds maxBytes.
func SplitPrerequisites(job string, firstPart int, ids []string, maxBytes int) []PrerequisitesRecord {
	var parts []PrerequisitesRecord
	for _, id := range ids {
		last := len(parts) - 1
		if last < 0 || parts[last].EncodedSize()+textSize(id) > maxBytes {
			parts = append(parts, PrerequisitesRecord{Job: job, Part: firstPart + len(parts)})
			last++
		}
		parts[last].IDs = append(parts[last].IDs, id)
	}
	return parts
}
