/** Measures the slopes of control traffic, processor time and memory, and prints a fit of each. */
import { writeFileSync } from 'node:fs'
import type { Measured } from './capacity/bench.js'
import { fitLine, type Fit, type Point } from './capacity/fit.js'
import { designSize, designSizeText, type Slopes } from './capacity/design-size.js'
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
  for (const role of ['entry', 'agent'] as const) {
    const fit = fitRelay(costs, role)
    process.stdout.write(`  ${role}: ${fit.intercept.toFixed(1)} us a request + ${fit.slope.toFixed(2)} us a token (spread ${(fit.spread * 100).toFixed(1)}%)\n`)
  }
}

/** Microseconds for a request by its tokens, at one role. */
function fitRelay (costs: readonly RelayCost[], role: 'entry' | 'agent'): Fit {
  return fitLine(costs.map(cost => ({ size: cost.tokensPerRequest, value: (role === 'entry' ? cost.entrySeconds : cost.agentSeconds) / cost.requests * 1e6 })))
}

/** Slopes for the size to design for. */
function slopesOf (all: readonly SubjectResult[], costs: readonly RelayCost[]): Slopes {
  const fitOf = (subject: string, column: string): Fit => {
    const fit = all.find(result => result.subject === subject)?.fits[column]
    if (fit === undefined) throw new Error(`"${subject}" was not measured`)
    return fit
  }
  const [bytes = '', share = '', resident = ''] = columns.map(({ name }) => name)
  const [entry, agent] = [fitRelay(costs, 'entry'), fitRelay(costs, 'agent')]
  return {
    baseBytes: fitOf('entry by configuration changes', bytes).intercept,
    bytesPerWatch: fitOf('agent by entries that watch it', bytes).slope,
    bytesPerChange: fitOf('entry by configuration changes', bytes).slope,
    bytesPerClaim: fitOf('agent by claims', bytes).slope,
    entryMicrosecondsPerRequest: entry.intercept,
    entryMicrosecondsPerToken: entry.slope,
    agentMicrosecondsPerRequest: agent.intercept,
    agentMicrosecondsPerToken: agent.slope,
    baseShare: fitOf('entry by configuration changes', share).intercept / 100,
    baseResident: fitOf('entry by upstreams watched', resident).intercept * 1000,
    residentPerUpstream: fitOf('entry by upstreams watched', resident).slope * 1000
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
const relay = only === undefined || only === 'relay' ? await measureRelay(relayShapes) : []
if (relay.length > 0) printRelay(relay)
if (only === undefined) process.stdout.write(`\nat the size to design for\n${designSizeText(designSize(slopesOf(results, relay)))}\n`)
const file = flagOf('--json')
if (file !== undefined) writeFileSync(file, `${JSON.stringify(results, null, 2)}\n`)
process.exit(0)
