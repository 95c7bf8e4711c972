/** Prints rows of names and values in two columns. */
export function printTable (rows: ReadonlyArray<readonly [string, string | number]>): void {
  const width = Math.max(...rows.map(([name]) => name.length))
  for (const [name, value] of rows) process.stdout.write(`${name.padEnd(width)}  ${value}\n`)
}
