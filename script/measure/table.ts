/** Tables of measured figures. */

/** A plot of some columns of a table. */
export interface PlotRequest {
  readonly title: string
  readonly x: string
  readonly y: string
  readonly kind: 'quantitative' | 'ordinal'
  /** Columns whose values tell the lines apart. */
  readonly series: readonly string[]
  /** Column with a lower bound, drawn dashed. */
  readonly bound?: string
}

/** One table: a subject and rows with the same columns. */
export interface MeasureTable {
  readonly subject: string
  readonly plots?: readonly PlotRequest[]
  readonly rows: ReadonlyArray<Readonly<Record<string, string | number>>>
}

/** Text of a table, columns aligned. */
export function tableText ({ subject, rows }: MeasureTable): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)))
  const lines = cells.map(line => line.map((cell, index) => cell.padStart(widths[index] ?? 0)).join('  '))
  return `${subject}\n${lines.join('\n')}\n`
}
