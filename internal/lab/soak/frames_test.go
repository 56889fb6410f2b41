package soak_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
	"github.com/lapisvane/lapisvane/platform"
)

// messageFiller fills messages with values that no daemon sends but that the encoding permits. names are
// used for half of the strings, so that the values reach state that exists.
type messageFiller struct {
	random *rand.Rand
	names  []string
}

// maxFillDepth and maxFillLength bound the nesting and the lists of a message, maxDrawnBodies the kinds of
// frames of a connection.
const (
	maxDrawnBodies = 4
	maxFillDepth   = 5
	maxFillLength  = 5
)

// draw returns some of the bodies of a frame. A connection sends only these: the body of one frame may make
// a daemon refuse most others.
func (m *messageFiller) draw() []protoreflect.FieldDescriptor {
	all := (&lapisv1.CallFrame{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	drawn := make([]protoreflect.FieldDescriptor, 1+m.random.IntN(maxDrawnBodies))
	for index := range drawn {
		drawn[index] = all.Get(m.random.IntN(all.Len()))
	}
	return drawn
}

// frame returns a frame with one of the given bodies.
func (m *messageFiller) frame(bodies []protoreflect.FieldDescriptor) *lapisv1.CallFrame {
	frame := &lapisv1.CallFrame{}
	message := frame.ProtoReflect()
	body := bodies[m.random.IntN(len(bodies))]
	for index := range message.Descriptor().Fields().Len() {
		field := message.Descriptor().Fields().Get(index)
		if field.ContainingOneof() == nil && m.random.IntN(4) == 0 {
			message.Set(field, m.value(message, field, 0))
		}
	}
	message.Set(body, m.value(message, body, 0))
	return frame
}

// fill sets three of four fields of a message.
func (m *messageFiller) fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		if m.random.IntN(4) == 0 || depth > maxFillDepth && field.Kind() == protoreflect.MessageKind {
			continue
		}
		switch {
		case field.IsMap():
			// Maps hold bundles, whose digests would have to be right.
		case field.IsList():
			list := message.Mutable(field).List()
			for range m.random.IntN(maxFillLength) {
				list.Append(m.element(list.NewElement, field, depth))
			}
		default:
			message.Set(field, m.value(message, field, depth))
		}
	}
}

func (m *messageFiller) value(message protoreflect.Message, field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	return m.element(func() protoreflect.Value { return message.NewField(field) }, field, depth)
}

// element returns a value for a field or an element of it; fresh returns an empty one.
func (m *messageFiller) element(fresh func() protoreflect.Value, field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.MessageKind:
		value := fresh()
		m.fill(value.Message(), depth+1)
		return value
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(m.text())
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(m.text()))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(m.random.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(m.pick(0, 1, 2, 3, 4, 99, math.MaxInt32)))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(m.decimal())
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(m.decimal()))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(m.pick(0, 1, 2, 21, 1000, math.MaxInt32, math.MaxUint32)))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(m.pick(0, 1, 2, 1000, 1<<40, math.MaxInt64, 1<<63, math.MaxUint64))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(m.pick(0, 1, 1000, math.MaxInt32, math.MaxUint32, 1<<31)))
	default:
		return protoreflect.ValueOfInt64(int64(m.pick(0, 1, 1000, math.MaxInt64, 1<<63, math.MaxUint64)))
	}
}

func (m *messageFiller) pick(values ...uint64) uint64 { return values[m.random.IntN(len(values))] }

func (m *messageFiller) decimal() float64 {
	return []float64{0, 1, -1, 0.5, 1e-320, math.MaxFloat64, -math.MaxFloat64, math.NaN(), math.Inf(1), math.Inf(-1)}[m.random.IntN(10)]
}

func (m *messageFiller) text() string {
	if m.random.IntN(2) == 0 {
		return m.names[m.random.IntN(len(m.names))]
	}
	return []string{"", "a", "\x00", "no such name", strings.Repeat("z", 5000), "-1", "127.0.0.1:1"}[m.random.IntN(7)]
}

// stranger is a daemon that sends unusable frames on each connection that it opens or accepts.
type stranger struct {
	hello *lapisv1.Hello
	// mutex protects filler.
	mutex  sync.Mutex
	filler *messageFiller
	sent   atomic.Int64
}

// framesPerConnection bounds the frames of a connection, most of which end it.
const framesPerConnection = 200

// sendFrames sends frames until the connection ends.
func (s *stranger) sendFrames(conn *wire.Conn) {
	go func() {
		for conn.Receive(&lapisv1.CallFrame{}) == nil {
			continue
		}
	}()
	s.mutex.Lock()
	bodies := s.filler.draw()
	s.mutex.Unlock()
	for range framesPerConnection {
		s.mutex.Lock()
		frame := s.filler.frame(bodies)
		s.mutex.Unlock()
		if conn.Send(frame) != nil {
			return
		}
		s.sent.Add(1)
	}
}

// dial opens connections to an address until ctx ends.
func (s *stranger) dial(ctx context.Context, address string) {
	for ctx.Err() == nil {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		conn := wire.NewConn(raw, nil)
		_ = raw.SetDeadline(time.Now().Add(time.Second))
		welcome := &lapisv1.ControlFrame{}
		if conn.WritePreface() == nil && conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: s.hello}}) == nil && conn.Receive(welcome) == nil {
			s.sendFrames(conn)
		}
		_ = conn.Close()
	}
}

// accept serves the connections that daemons open to the stranger.
func (s *stranger) accept(_ context.Context, conn *wire.Conn, _ *lapisv1.Hello) error {
	err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: &lapisv1.Welcome{Node: s.hello.GetNode(), Incarnation: s.hello.GetIncarnation()}}})
	s.sendFrames(conn)
	return err
}

// Guards against an end of a daemon by values that the encoding of frames permits, in both directions of
// connections, while requests are served.
func TestUnusableFramesEndNoDaemon(t *testing.T) {
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout+*dayLength)
	defer cancel()
	launch := func(config *settings.Daemon, logger logr.Logger) (day.Process, error) {
		config.RateLimits = settings.RateLimits{Window: tunables.Duration(5 * time.Second), Overshoot: 0.1, Slack: 20}
		config.Rollouts = settings.Rollouts{ExposureShare: 0.2, ExposureSlack: 20}
		return processes.launch(config, logger)
	}
	site, err := day.Start(ctx, options(launch, *firstSeed, 4), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	assert.NilError(t, site.Store.PutSpec(platform.KindRollouts, "desk", platform.RolloutSpec{Service: "desk", Target: "v2", Duration: 60}))
	filler := &messageFiller{random: rand.New(rand.NewPCG(*firstSeed, 2)), names: []string{"desk", "yard", "a", "b", "c", "stranger"}}
	for _, machine := range site.Machines {
		filler.names = append(filler.names, machine.Name, machine.Instance().ID(), machine.Daemon().Addresses().Peer)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	odd := &stranger{filler: filler, hello: &lapisv1.Hello{
		ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS, Node: "stranger", Incarnation: 1, Zone: "a", Service: "desk", Address: listener.Addr().String(),
	}}
	server := &peer.Server{Logger: logr.Discard(), Counters: &wire.Counters{}, Handlers: map[lapisv1.Hello_Purpose]peer.Handler{lapisv1.Hello_PURPOSE_CALLS: odd.accept}}
	strangeCtx, end := context.WithTimeout(ctx, *dayLength)
	defer end()
	var running sync.WaitGroup
	running.Go(func() { server.Serve(strangeCtx, listener) })
	for _, machine := range site.Machines {
		running.Go(func() { odd.dial(strangeCtx, machine.Daemon().Addresses().Peer) })
	}
	for number := 0; strangeCtx.Err() == nil; number++ {
		requestStock(strangeCtx, site, site.Machines[number%len(site.Machines)], fmt.Sprintf("strange-%d", number))
		_, _ = http.Get("http://" + processOf(t, site.Machines[number%len(site.Machines)]).addresses.Metrics + "/metrics")
	}
	_ = listener.Close()
	running.Wait()
	t.Logf("%d frames", odd.sent.Load())
	for _, machine := range site.Machines {
		assert.Check(t, !processOf(t, machine).hasExited(), "%s ended", machine.Name)
	}
}
