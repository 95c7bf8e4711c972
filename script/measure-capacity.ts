/** Measures the slopes of control traffic, processor time and memory, and prints a fit of each. */
import { writeFileSync } from 'node:fs'
import type { Measured } from './capacity/bench.js'
import { fitLine, type Fit, type Point } from './capacity/fit.js'
import { measureRelay, type RelayCost } from './capacity/relay-slopes.js'
import { controlSubjects, type Subject } from './capacity/slopes.js'
import { workSubjects } from './capacity/work-slopes.js'

const linearSpread = 0.15

interface Column {
  readonly name: string
  readonly read: (measured: Measured) => number
  readonly digits: number
}

const columns: readonly Column[] = [
  { name: 'control bytes a second', read: ({ controlBytesPerSecond }) => controlBytesPerSecond, digits: 1 },
  { name: 'per cent of a core', read: ({ processorShare }) => processorShare * 100, digits: 3 },
  { name: 'resident kilobytes', read: ({ residentBytes }) => residentBytes / 1000, digits: 1 }
]

/** Result of one subject, for the JSON file. */
interface SubjectResult {
  readonly subject: string
  readonly unit: string
  readonly rows: ReadonlyArray<{ readonly size: number, readonly measured: Measured }>
  readonly fits: Readonly<Record<string, Fit>>
}

async function runSubject (subject: Subject): Promise<SubjectResult> {
  const rows: Array<{ size: number, measured: Measured }> = []
  for (const size of subject.sizes) rows.push({ size, measured: await subject.measure(size) })
  const fits = Object.fromEntries(columns.map(column => [column.name, fitLine(rows.map(({ size, measured }): Point => ({ size, value: column.read(measured) })))]))
  return { subject: subject.name, unit: subject.unit, rows, fits }
}

function print (result: SubjectResult): void {
  process.stdout.write(`\n${result.subject}\n`)
  for (const { size, measured } of result.rows) {
    const cells = columns.map(column => `${column.read(measured).toFixed(column.digits)} ${column.name}`)
    process.stdout.write(`  ${String(size).padStart(6)} ${result.unit}: ${cells.join(', ')}\n`)
  }
  for (const column of columns) {
    const fit = result.fits[column.name]
    if (fit === undefined) continue
    const remark = fit.spread > linearSpread ? ', not linear or too small to tell' : ''
    process.stdout.write(`  ${column.name} = ${fit.intercept.toPrecision(4)} + ${fit.slope.toPrecision(4)} x ${result.unit} (spread ${(fit.spread * 100).toFixed(1)}%, R2 ${fit.determination.toFixed(3)}${remark})\n`)
  }
}

/** Prints what a request and a token cost: the line through processor time per request by tokens per request. */
function printRelay (costs: readonly RelayCost[]): void {
  process.stdout.write('\nrelay\n')
  for (const cost of costs) {
    process.stdout.write(`  ${String(cost.tokensPerRequest).padStart(6)} tokens a request: ${cost.requests} requests, ${(cost.entrySeconds / cost.requests * 1e6).toFixed(0)} us a request at the entry, ${(cost.agentSeconds / cost.requests * 1e6).toFixed(0)} at the agent, first token ${cost.firstToken.toFixed(1)} ms (direct ${cost.directFirstToken.toFixed(1)} ms)\n`)
  }
  for (const [role, read] of [['entry', (cost: RelayCost) => cost.entrySeconds], ['agent', (cost: RelayCost) => cost.agentSeconds]] as const) {
    const fit = fitLine(costs.map(cost => ({ size: cost.tokensPerRequest, value: read(cost) / cost.requests * 1e6 })))
    process.stdout.write(`  ${role}: ${fit.intercept.toFixed(1)} us a request + ${fit.slope.toFixed(2)} us a token (spread ${(fit.spread * 100).toFixed(1)}%)\n`)
  }
}

const relayShapes = [1, 50, 200] as const

/** Value of a flag on the command line. */
function flagOf (name: string): string | undefined {
  const index = process.argv.indexOf(name)
  return index < 0 ? undefined : process.argv[index + 1]
}

const only = flagOf('--only')
const chosen = [...controlSubjects, ...workSubjects].filter(subject => only === undefined || subject.name.includes(only))
if (chosen.length === 0 && only !== 'relay') throw new Error(`--only: no subject matches "${only}"`)
const results: SubjectResult[] = []
for (const subject of chosen) {
  const result = await runSubject(subject)
  print(result)
  results.push(result)
}
if (only === undefined || only === 'relay') printRelay(await measureRelay(relayShapes))
const file = flagOf('--json')
if (file !== undefined) writeFileSync(file, `${JSON.stringify(results, null, 2)}\n`)
process.exit(0)
