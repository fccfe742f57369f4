package keeper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wardturn"
	"wardturn/peer"
)

var _ = Describe("A keeper that gets an announcement of a store read", func() {
	var (
		addr   string
		reader *peer.Conn // of the gateway that sends the announcement
		own    *words
		in     *words // a gateway that gets announcements from this keeper
		inConn *peer.Conn
		out    *words // a gateway that gets them from other keepers
	)
	greet := func(news bool) (*words, *peer.Conn) {
		w, c := connect(addr)
		n := engineNotice(true)
		n.News = news
		Expect(c.Send(n)).To(Succeed())
		return w, c
	}
	// sync waits until everything sent to a gateway before has arrived.
	sync := func(w *words, c *peer.Conn) {
		Expect(c.Send(&peer.Listen{})).To(Succeed())
		next[*peer.Holding](w)
	}
	tell := func(position wardturn.Position) {
		Expect(reader.Send(&peer.StoreNews{
			Reader: "reader",
			Config: position,
		})).To(Succeed())
	}
	BeforeEach(func() {
		var outConn *peer.Conn
		_, addr = startKeeper("k", emptyEngine())
		in, inConn = greet(true)
		out, outConn = greet(false)
		own, reader = greet(true)
		sync(in, inConn)
		sync(out, outConn)
		sync(own, reader)
	})

	It("forwards it to the gateways that get announcements from it, except the sender, and to no other", func() {
		tell(7)
		Expect(next[*peer.StoreNews](in).Config).To(BeEquivalentTo(7))
		Consistently(func() bool {
			return heardNews(out) || heardNews(own)
		}, "200ms").Should(BeFalse())
	})

	It("applies a gateway's change of whether it gets announcements from this keeper", func() {
		n := engineNotice(true)
		Expect(inConn.Send(n)).To(Succeed())
		sync(in, inConn)
		tell(7)
		Consistently(func() bool {
			return heardNews(in)
		}, "200ms").Should(BeFalse())
		n.News = true
		Expect(inConn.Send(n)).To(Succeed())
		sync(in, inConn)
		tell(8)
		Expect(next[*peer.StoreNews](in).Config).To(BeEquivalentTo(8))
	})
})

// heardNews reports whether an announcement of a store read has arrived.
func heardNews(w *words) bool {
	for {
		select {
		case m := <-w.all:
			if _, ok := m.(*peer.StoreNews); ok {
				return true
			}
		default:
			return false
		}
	}
}
