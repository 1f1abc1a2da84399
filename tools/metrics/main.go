// Command metrics prints the sizes of the packages of a Go tree, a line each, tests left out:
//
//	go -C tools run ./metrics ..
//
// Lines of files and fields of structs are counted as written; an embedded field is one. Lines of a
// function are those between its first and last, without comments, as funlen counts them. Exported
// identifiers are functions, types, constants, variables and methods of exported types; a comment on
// a group of constants or variables holds for each of the group. Linters ask no comment of a few
// methods that everyone knows, such as String; here they count.
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

// longFunction is how many lines a function may have.
const longFunction = 40

// largest is the greatest of some sizes, and whose it is.
type largest struct {
	size int
	name string
}

func (l *largest) see(size int, name string) {
	if size > l.size {
		*l = largest{size, name}
	}
}

func (l *largest) String() string { return fmt.Sprintf("%d %s", l.size, l.name) }

// sizes is what is counted of a package.
type sizes struct {
	lines, files, longFunctions, exported, undocumented int
	file, function, fields                              largest
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: metrics directory")
		os.Exit(2)
	}
	packages, err := measure(os.Args[1])
	if err == nil {
		err = report(packages)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measure reads every Go file under root that is no test, and gives the sizes by directory.
// Directories that the go command passes over are left out, and so are other modules.
func measure(root string) (map[string]*sizes, error) {
	packages := map[string]*sizes{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && passedOver(path):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		name, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if packages[name] == nil {
			packages[name] = &sizes{}
		}
		return packages[name].addFile(path)
	})
	return packages, err
}

func passedOver(directory string) bool {
	name := filepath.Base(directory)
	_, err := os.Stat(filepath.Join(directory, "go.mod"))
	return err == nil || name == "testdata" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

// addFile counts a file.
func (s *sizes) addFile(path string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, parser.ParseComments)
	if err != nil {
		return err
	}
	lines := bytes.Count(source, []byte("\n"))
	s.files++
	s.lines += lines
	s.file.see(lines, filepath.Base(path))
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			s.addFunction(d, functionLines(set, file, d))
		case *ast.GenDecl:
			s.addGroup(d)
		}
	}
	return nil
}

// functionLines counts the lines between a function's first and last that are no comments.
func functionLines(set *token.FileSet, file *ast.File, f *ast.FuncDecl) int {
	line := func(p token.Pos) int { return set.Position(p).Line }
	lines := line(f.End()) - line(f.Pos()) - 1
	for _, group := range file.Comments {
		if line(group.Pos()) > line(f.Pos()) && line(group.End()) < line(f.End()) {
			lines -= len(group.List)
		}
	}
	return max(lines, 0)
}

func (s *sizes) addFunction(f *ast.FuncDecl, lines int) {
	s.function.see(lines, f.Name.Name)
	if lines > longFunction {
		s.longFunctions++
	}
	if f.Recv == nil || ast.IsExported(receiver(f.Recv.List[0].Type)) {
		s.addName(f.Name, f.Doc != nil)
	}
}

// receiver gives the name of a method's type, whether pointer or generic.
func receiver(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiver(e.X)
	case *ast.IndexExpr:
		return receiver(e.X)
	case *ast.IndexListExpr:
		return receiver(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// addGroup counts types, constants or variables that are declared together.
func (s *sizes) addGroup(group *ast.GenDecl) {
	for _, spec := range group.Specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			alone := !group.Lparen.IsValid()
			s.addName(spec.Name, spec.Doc != nil || alone && group.Doc != nil)
			if t, ok := spec.Type.(*ast.StructType); ok {
				s.fields.see(t.Fields.NumFields(), spec.Name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range spec.Names {
				s.addName(name, spec.Doc != nil || spec.Comment != nil || group.Doc != nil)
			}
		}
	}
}

func (s *sizes) addName(name *ast.Ident, documented bool) {
	if !name.IsExported() {
		return
	}
	s.exported++
	if !documented {
		s.undocumented++
	}
}

// add counts a package in with others.
func (s *sizes) add(o *sizes, name string) {
	s.lines += o.lines
	s.files += o.files
	s.longFunctions += o.longFunctions
	s.exported += o.exported
	s.undocumented += o.undocumented
	s.file.see(o.file.size, name+"/"+o.file.name)
	s.function.see(o.function.size, name+"."+o.function.name)
	s.fields.see(o.fields.size, name+"."+o.fields.name)
}

// report prints the packages by name, and what they come to together.
func report(packages map[string]*sizes) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	row := func(name string, s *sizes) {
		row := []any{name, s.lines, s.files, &s.file, &s.function, s.longFunctions, &s.fields, s.exported, s.undocumented}
		// The table keeps its first error for Flush.
		_, _ = fmt.Fprintln(table, strings.TrimSuffix(fmt.Sprintf(strings.Repeat("%v\t", len(row)), row...), "\t"))
	}
	_, _ = fmt.Fprintf(table, "package\tlines\tfiles\tlongest file\tlongest function\tover %d\tmost fields\texported\tundocumented\n", longFunction)
	var all sizes
	for _, name := range slices.Sorted(maps.Keys(packages)) {
		row(name, packages[name])
		all.add(packages[name], name)
	}
	row("all", &all)
	return table.Flush()
}
