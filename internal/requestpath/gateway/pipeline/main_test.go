package pipeline

import (
	"io"
	"os"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
