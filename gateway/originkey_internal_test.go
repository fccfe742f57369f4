package gateway

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"wardturn"
	"wardturn/decide"
)

// Guards against long IDs of attempts that fill the memory of the processes that keep where streams
// began.
func TestOriginsOfLongAttemptsTakeBoundedMemory(t *testing.T) {
	if got := originKey("9c41d07be2a35f68"); got != "9c41d07be2a35f68" {
		t.Errorf("short ID kept as %q", got)
	}
	long := strings.Repeat("x", 15<<10)
	if one, other := originKey(long+"1"), originKey(long+"2"); one == other || len(one) > maxOriginKey {
		t.Errorf("keys %q, %q", one, other)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := decide.NewStreamOrigins()
	now := time.Unix(1000, 0)
	for i := range 1 << 16 {
		attempt := strings.Repeat(string(rune('a'+i%26)), 12<<10) + string(rune(i))
		s.Record(now, originKey(attempt), wardturn.StreamOrigin{
			Service:  "llm",
			Software: "v1",
		}, now.Add(time.Minute))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 64<<20 {
		t.Errorf("%d MB for 65,536 attempts", used>>20)
	}
	runtime.KeepAlive(s)
}
