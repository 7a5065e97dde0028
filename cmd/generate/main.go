// Command generate writes the Go code of every .proto file in the module, for maintainers and CI. It compiles the
// files in process and runs the generators that go.mod names as tools, so that no protoc is needed. It imports nothing
// of the module, so that it runs while the generated code is out of date.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

var generators = []string{"protoc-gen-go", "protoc-gen-twirp"}

func main() {
	check := flag.Bool("check", false, "compare with the committed code and write nothing")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

func run(check bool) error {
	files, err := protoFiles()
	if err != nil {
		return err
	}
	for _, file := range files {
		request, err := compile(file)
		if err != nil {
			return err
		}
		for _, generator := range generators {
			if err := generate(generator, request, check); err != nil {
				return fmt.Errorf("%s with %s: %w", file, generator, err)
			}
		}
	}
	return nil
}

func protoFiles() ([]string, error) {
	var files []string
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".proto") {
			files = append(files, filepath.ToSlash(path))
		}
		return err
	})
	return files, err
}

// compile parses one file, which may import only files that protocompile knows, and returns the request that every
// generator reads from its standard input.
func compile(file string) ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return nil, err
	}
	descriptor := protodesc.ToFileDescriptorProto(compiled[0])
	return proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{descriptor},
	})
}

func generate(generator string, request []byte, check bool) error {
	command := exec.Command("go", "tool", generator)
	command.Stdin = bytes.NewReader(request)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("generator: %s", response.GetError())
	}
	for _, f := range response.File {
		if err := write(f.GetName(), []byte(f.GetContent()), check); err != nil {
			return err
		}
	}
	return nil
}

// write writes a generated file. With check it returns an error instead if the committed file differs.
func write(name string, content []byte, check bool) error {
	if !check {
		return os.WriteFile(name, content, 0o644)
	}
	committed, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if !bytes.Equal(committed, content) {
		return fmt.Errorf("%s is out of date; run make generate", name)
	}
	return nil
}
