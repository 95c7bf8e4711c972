/** Starts the processes of a deployment on loopback, for the demo, the measurements and the failure tests. */
import { fileURLToPath } from 'node:url'
import { spawn } from 'node:child_process'
import type { Answers } from '../src/types/answers.js'
import type { ListedInstance } from '../src/types/platform.js'
import type { StandInKind } from '../stand-in/main.js'
import { ManagedProcess } from './process.js'

/** A process with the addresses it serves. */
export interface Started {
  readonly process: ManagedProcess
  readonly listen: string
  readonly control: string
}

/** An instance of the deployment: the system's process and, for an upstream, its back end. */
export interface StartedInstance extends Started {
  readonly listed: ListedInstance
  readonly upstream: Started | undefined
}

const root = fileURLToPath(new URL('../', import.meta.url))
/** Small young generation: many processes share the machine. */
const memoryFlags = ['--max-semi-space-size=4', '--stack-trace-limit=20']

/** Starts a stand-in as a process of its own; a restart serves the same addresses. */
export async function startStandIn (kind: StandInKind, name: string = kind): Promise<Started> {
  const [started] = await startStandIns([kind], name)
  if (started === undefined) throw new Error(`no ${kind} was started`)
  return started
}

/** Starts several stand-ins in one process. */
export async function startStandIns (kinds: readonly StandInKind[], name: string): Promise<readonly Started[]> {
  const places = kinds.map(kind => ({ kind, listen: freshAddress(), control: freshAddress() }))
  const words = places.flatMap(({ kind, listen, control }) => [kind, listen, control])
  const managed = new ManagedProcess(name, [...memoryFlags, `${root}stand-in/main.js`, ...words])
  await managed.start()
  return places.map(({ listen, control }) => ({ process: managed, listen, control }))
}

/** Starts the daemon and waits until it serves. */
export async function startDaemon (flags: Readonly<Record<string, string>>): Promise<ManagedProcess> {
  const managed = new ManagedProcess(flags['instance'] ?? 'daemon', [...memoryFlags, `${root}bin/pollendyked.js`, ...daemonWords(flags)])
  await managed.start()
  return managed
}

/** Command-line words of a daemon's flags. */
export function daemonWords (flags: Readonly<Record<string, string>>): readonly string[] {
  return Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])
}

/** What a program that ran to its end left. */
export interface RunResult { readonly code: number, readonly output: string, readonly errors: string }

/** Runs the operators' command line and returns its exit code and output. */
export async function runCommand (words: readonly string[]): Promise<RunResult> {
  return await runProgram('pollendyke', words)
}

/** Runs a program of `bin/` to its end. */
export async function runProgram (name: 'pollendyke' | 'pollendyked', words: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<RunResult> {
  const child = spawn(process.execPath, [`${root}bin/${name}.js`, ...words], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment } })
  let output = ''
  let errors = ''
  child.stdout.on('data', (part: Buffer) => { output += part.toString('utf8') })
  child.stderr.on('data', (part: Buffer) => { errors += part.toString('utf8') })
  const code = await new Promise<number>(resolve => { child.on('close', exit => { resolve(exit ?? 1) }) })
  return { code, output, errors }
}

/** Above 10080, which `fetch` refuses as a bad port. */
const firstPort = 10_100
const portRange = 20_000
const secondOctets = 250
/** Ranges of third octets among which processes with the same second octet are spread, and the octets of one range. */
const [thirdOctetRanges, thirdOctetsPerRange] = [16, 16] as const
let addressesTaken = 0

/** An address on loopback that no other call and no other process of this kind gets. */
export function freshAddress (): string {
  const address = loopbackAddress(process.pid, addressesTaken)
  addressesTaken += 1
  return address
}

/** Address with a number that is not used twice in a process. Its IP differs between processes too, as some servers have a fixed port. */
export function loopbackAddress (processId: number, number: number): string {
  const block = Math.floor(processId / secondOctets)
  const thirdOctet = ((block % thirdOctetRanges) * thirdOctetsPerRange + Math.floor(number / 250)) % 256
  return `127.${1 + processId % secondOctets}.${thirdOctet}.${1 + number % 250}:${firstPort + block % portRange}`
}

/** Service, data centre and kind of each upstream of a deployment. */
export interface PlannedUpstream { readonly service: string, readonly kind: 'model' | 'plain', readonly dataCentre: string, readonly region: string }

/** Spreads `count` instances of each service over the data centres. */
export function planUpstreams (answers: Answers, counts: Readonly<Record<string, number>>): readonly PlannedUpstream[] {
  return answers.services.flatMap(({ name, kind }) => Array.from({ length: counts[name] ?? 0 }, (_, index) => {
    const place = answers.dataCentres[index % answers.dataCentres.length]
    if (place === undefined) throw new Error('the answers name no data centre')
    return { service: name, kind, dataCentre: place.name, region: place.region }
  }))
}
