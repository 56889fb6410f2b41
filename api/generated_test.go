// Package api_test checks that the generated code matches the protocol definitions,
// without running the generator.
package api_test

import (
	"context"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

func TestGeneratedCodeIsInStep(t *testing.T) {
	generated := map[string]protoreflect.FileDescriptor{
		"lapis/v1/config.proto":  lapisv1.File_lapis_v1_config_proto,
		"lapis/v1/control.proto": lapisv1.File_lapis_v1_control_proto,
		"lapis/v1/call.proto":    lapisv1.File_lapis_v1_call_proto,
	}
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{"proto"}}}
	for path, compiled := range generated {
		files, err := compiler.Compile(context.Background(), path)
		assert.NilError(t, err)
		source := protodesc.ToFileDescriptorProto(files[0])
		built := protodesc.ToFileDescriptorProto(compiled)
		source.SourceCodeInfo, built.SourceCodeInfo = nil, nil
		assert.Assert(t, proto.Equal(source, built), "%s differs from the generated code; run make generate", path)
	}
}
