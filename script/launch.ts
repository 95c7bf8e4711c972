/** Starts the processes of a deployment on loopback, for the demo and the failure tests. */
import { spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { Answers } from '../src/types/answers.js'
import type { ListedInstance } from '../src/types/platform.js'
import type { StandInKind } from '../stand-in/main.js'

/** A process with the addresses it serves. */
export interface Started {
  readonly process: ChildProcess
  readonly listen: string
  readonly control: string
}

/** An instance of the deployment: the system's process and, for an upstream, its back end. */
export interface StartedInstance extends Started {
  readonly listed: ListedInstance
  readonly upstream: Started | undefined
}

const root = fileURLToPath(new URL('../', import.meta.url))

/** Starts a stand-in as a process. */
export async function startStandIn (kind: StandInKind): Promise<Started> {
  const child = spawn(process.execPath, [`${root}stand-in/main.js`, kind], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [, listen, control] = (await firstLine(child)).split(' ')
  return { process: child, listen: `127.0.0.1:${listen}`, control: `127.0.0.1:${control}` }
}

/** Starts the daemon and waits until it serves. */
export async function startDaemon (flags: Readonly<Record<string, string>>): Promise<ChildProcess> {
  const words = Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value])
  const child = spawn(process.execPath, [`${root}bin/pollendyked.js`, ...words], { stdio: ['ignore', 'pipe', 'inherit'] })
  await firstLine(child)
  return child
}

/** Runs the operators' command line and returns its exit code and output. */
export async function runCommand (words: readonly string[]): Promise<{ readonly code: number, readonly output: string }> {
  const child = spawn(process.execPath, [`${root}bin/pollendyke.js`, ...words], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (part: Buffer) => { output += part.toString('utf8') })
  const code = await new Promise<number>(resolve => { child.on('close', exit => { resolve(exit ?? 1) }) })
  return { code, output }
}

const firstPort = 10_000
const portRange = 20_000
const secondOctets = 250
let addressesTaken = 0

/** An address on loopback that no other call and no other process of this kind gets: the process id chooses port and second octet. */
export function freshAddress (): string {
  const port = firstPort + Math.floor(process.pid / secondOctets) % portRange
  const number = addressesTaken
  addressesTaken += 1
  return `127.${1 + process.pid % secondOctets}.${Math.floor(number / 250)}.${1 + number % 250}:${port}`
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

function firstLine (child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = ''
    child.stdout?.on('data', (part: Buffer) => {
      text += part.toString('utf8')
      if (text.includes('\n')) resolve(text.split('\n')[0] ?? '')
    })
    child.once('exit', code => { reject(new Error(`the process ended with ${code} before it was ready`)) })
  })
}
