package load

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// Query runs statements on one caller connection and prints their rows with
// tab-separated columns.
func Query(ctx context.Context, out io.Writer, config Config, group string, statements []string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	pool := newConnPool(config.Proxies, config.User, config.Password)
	defer pool.close()
	for _, sql := range statements {
		rows, err := pool.exec(ctx, poolKey{0, group, ""}, sql)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := printRow(out, row); err != nil {
				return err
			}
		}
	}
	return nil
}

func printRow(out io.Writer, row [][]byte) error {
	columns := make([]string, len(row))
	for i, cell := range row {
		columns[i] = string(cell)
	}
	_, err := fmt.Fprintln(out, strings.Join(columns, "\t"))
	return err
}
