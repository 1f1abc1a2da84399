// Command metrics prints the sizes of the packages of a Go tree, one line for each package, without
// tests:
//
//	go -C tools run ./metrics ..
//
// Lines of files include comments and blank lines. An embedded field of a struct counts as one field.
// The length of a function is the number of lines between its first and last line, without comments,
// as the linter funlen counts them. Exported identifiers are functions, types, constants, variables and methods
// of exported types; a comment on a group of constants or variables documents every name in it.
// Linters don't require comments on a few well-known methods, such as String; here such methods
// without a comment count as undocumented.
package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// longFunction is the number of lines above which a function counts as long.
const longFunction = 40

// maximum is the largest size seen so far, with the name of the item that has it.
type maximum struct {
	size int
	name string
}

func (l *maximum) update(size int, name string) {
	if size > l.size {
		*l = maximum{size, name}
	}
}

func (l *maximum) String() string { return fmt.Sprintf("%d %s", l.size, l.name) }

// packageSizes holds the figures of a package, or their totals over all packages.
type packageSizes struct {
	lines, files, longFunctions, exported, undocumented int
	file, function, fields                              maximum
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: metrics directory")
		os.Exit(2)
	}
	packages, err := measure(os.Args[1])
	if err == nil {
		err = printTable(packages)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measure parses every Go file under root that is not a test, and returns the sizes by directory. It
// skips directories that the go command ignores, and other modules.
func measure(root string) (map[string]*packageSizes, error) {
	packages := map[string]*packageSizes{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && isSkipped(path):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		name, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if packages[name] == nil {
			packages[name] = &packageSizes{}
		}
		return packages[name].addFile(path)
	})
	return packages, err
}

func isSkipped(directory string) bool {
	name := filepath.Base(directory)
	_, err := os.Stat(filepath.Join(directory, "go.mod"))
	return err == nil || name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// addFile adds a file to the figures.
func (s *packageSizes) addFile(path string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, source, parser.ParseComments)
	if err != nil {
		return err
	}
	lines := bytes.Count(source, []byte("\n"))
	s.files++
	s.lines += lines
	s.file.update(lines, filepath.Base(path))
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			s.addFunction(d, functionLines(files, file, d))
		case *ast.GenDecl:
			s.addDeclaration(d)
		}
	}
	return nil
}

// functionLines returns the number of lines between a function's first and last line, without
// comments.
func functionLines(files *token.FileSet, file *ast.File, f *ast.FuncDecl) int {
	line := func(p token.Pos) int { return files.Position(p).Line }
	lines := line(f.End()) - line(f.Pos()) - 1
	for _, group := range file.Comments {
		if line(group.Pos()) > line(f.Pos()) && line(group.End()) < line(f.End()) {
			lines -= len(group.List)
		}
	}
	return max(lines, 0)
}

func (s *packageSizes) addFunction(f *ast.FuncDecl, lines int) {
	s.function.update(lines, f.Name.Name)
	if lines > longFunction {
		s.longFunctions++
	}
	if f.Recv == nil || ast.IsExported(receiverType(f.Recv.List[0].Type)) {
		s.addName(f.Name, f.Doc != nil)
	}
}

// receiverType returns the name of a method's receiver type, without pointer and type parameters.
func receiverType(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiverType(e.X)
	case *ast.IndexExpr:
		return receiverType(e.X)
	case *ast.IndexListExpr:
		return receiverType(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// addDeclaration adds the types, constants or variables of a declaration.
func (s *packageSizes) addDeclaration(group *ast.GenDecl) {
	for _, spec := range group.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			alone := !group.Lparen.IsValid()
			s.addName(spec.Name, spec.Doc != nil || alone && group.Doc != nil)
			if t, ok := spec.Type.(*ast.StructType); ok {
				s.fields.update(t.Fields.NumFields(), spec.Name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				s.addName(name, spec.Doc != nil || spec.Comment != nil || group.Doc != nil)
			}
		}
	}
}

func (s *packageSizes) addName(name *ast.Ident, documented bool) {
	if !name.IsExported() {
		return
	}
	s.exported++
	if !documented {
		s.undocumented++
	}
}

// add adds the figures of the named package to a total.
func (s *packageSizes) add(o *packageSizes, name string) {
	s.lines += o.lines
	s.files += o.files
	s.longFunctions += o.longFunctions
	s.exported += o.exported
	s.undocumented += o.undocumented
	s.file.update(o.file.size, name+"/"+o.file.name)
	s.function.update(o.function.size, name+"."+o.function.name)
	s.fields.update(o.fields.size, name+"."+o.fields.name)
}

// printTable prints the packages sorted by name, and their total.
func printTable(packages map[string]*packageSizes) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(name string, s *packageSizes) {
		row := []any{name, s.lines, s.files, &s.file, &s.function, s.longFunctions, &s.fields, s.exported, s.undocumented}
		// The table keeps its first error and returns it from Flush.
		_, _ = fmt.Fprintln(table, strings.TrimSuffix(fmt.Sprintf(strings.Repeat("%v\t", len(row)), row...), "\t"))
	}
	_, _ = fmt.Fprintf(table, "package\tlines\tfiles\tlongest file\tlongest function\tover %d\tmost fields\texported\tundocumented\n", longFunction)
	var total packageSizes
	for _, name := range slices.Sorted(maps.Keys(packages)) {
		row(name, packages[name])
		total.add(packages[name], name)
	}
	row("all", &total)
	return table.Flush()
}
