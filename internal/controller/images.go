package controller

import (
	"slices"
	"time"
)

// image is one that a machine has or fetches.
type image struct {
	name  string
	gb    float64
	ready time.Duration // when its fetch should be over
}

// fetch notes that a task's image will be on the machine.
func (h *host) fetch(e *engine, j *job) {
	now := e.n.now.Monotonic
	i := slices.IndexFunc(h.images, func(im image) bool { return im.name == j.Image })
	if i >= 0 {
		im := h.images[i]
		h.images = append(slices.Delete(h.images, i, i+1), im)
		return
	}
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchGBPerS <= 0 {
		return
	}
	busy := now
	total := j.ImageGB
	for _, im := range h.images {
		busy = max(busy, im.ready)
		total += im.gb
	}
	for len(h.images) > 0 && total > mt.CacheGB {
		total -= h.images[0].gb
		h.images = h.images[1:]
	}
	ready := busy + time.Duration(j.ImageGB/mt.FetchGBPerS*float64(time.Second))
	h.images = append(h.images, image{j.Image, j.ImageGB, ready})
}

// arrivedImage notes that a task runs, so its image is there.
func (h *host) arrivedImage(j *job, now time.Duration) {
	for i := range h.images {
		if h.images[i].name == j.Image {
			h.images[i].ready = min(h.images[i].ready, now)
			return
		}
	}
	h.images = append(h.images, image{j.Image, j.ImageGB, now})
}

// fetchTime is how long a task's image would take to be on the machine.
func (h *host) fetchTime(e *engine, j *job) float64 {
	now := e.n.now.Monotonic
	var busy time.Duration
	for _, im := range h.images {
		if im.name == j.Image {
			return max(0, (im.ready - now).Seconds())
		}
		busy = max(busy, im.ready-now)
	}
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchGBPerS <= 0 {
		return 0
	}
	return j.ImageGB/mt.FetchGBPerS + max(0, busy.Seconds())
}
