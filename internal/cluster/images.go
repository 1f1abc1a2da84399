package cluster

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// ImageCache tracks the images that a machine is expected to have, least recently used first.
type ImageCache struct{ images []image }

// image is an image that a machine has or is fetching.
type image struct {
	name    string
	sizeGB  float64
	readyAt time.Duration // expected completion of its fetch
}

func (c *ImageCache) index(name string) int {
	return slices.IndexFunc(c.images, func(i image) bool { return i.name == name })
}

// busyUntil returns when all fetches in progress are expected to complete.
func (c *ImageCache) busyUntil() time.Duration {
	var until time.Duration
	for _, i := range c.images {
		until = max(until, i.readyAt)
	}
	return until
}

// fetch records that a machine of a type will have an image. If the image is not cached, its fetch
// starts after those in progress.
func (c *ImageCache) fetch(now time.Duration, name string, sizeGB float64, machineType *protocol.MachineType) {
	if i := c.index(name); i >= 0 {
		used := c.images[i]
		c.images = append(slices.Delete(c.images, i, i+1), used)
		return
	}
	if machineType == nil || machineType.FetchGBPerS <= 0 {
		return
	}
	readyAt := max(now, c.busyUntil()) + time.Duration(sizeGB/machineType.FetchGBPerS*float64(time.Second))
	c.evict(sizeGB, machineType.CacheGB)
	c.images = append(c.images, image{name, sizeGB, readyAt})
}

// evict drops the least recently used images until a new image fits in the cache.
func (c *ImageCache) evict(sizeGB, capacityGB float64) {
	total := sizeGB
	for _, i := range c.images {
		total += i.sizeGB
	}
	for len(c.images) > 0 && total > capacityGB {
		total -= c.images[0].sizeGB
		c.images = c.images[1:]
	}
}

// MarkReady records that an image is on the machine, because a task that uses it is running there.
func (c *ImageCache) MarkReady(now time.Duration, name string, sizeGB float64) {
	if i := c.index(name); i >= 0 {
		c.images[i].readyAt = min(c.images[i].readyAt, now)
		return
	}
	c.images = append(c.images, image{name, sizeGB, now})
}

// Clear removes all images.
func (c *ImageCache) Clear() { c.images = nil }

// fetchTimeS returns how many seconds it would take until an image is available on a machine of a type.
func (c *ImageCache) fetchTimeS(now time.Duration, name string, sizeGB float64, machineType *protocol.MachineType) float64 {
	if i := c.index(name); i >= 0 {
		return max(0, (c.images[i].readyAt - now).Seconds())
	}
	if machineType == nil || machineType.FetchGBPerS <= 0 {
		return 0
	}
	busy := max(0, c.busyUntil()-now)
	return sizeGB/machineType.FetchGBPerS + busy.Seconds()
}
