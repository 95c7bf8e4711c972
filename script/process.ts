/** One process that a script started: its signals, its register, and the tail of its error output. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import type { RegisterLine } from '../stand-in/register.js'

/** Stands for the exit code of a process that a signal ended. */
export const exitCodeOfSignal = -1
const tailLines = 200
const signalsThatEnd = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const
const running = new Set<ManagedProcess>()
let guarded = false

/** A process under the script's control; it never outlives the script. */
export class ManagedProcess {
  /** What a stand-in recorded, in order; it outlives the process. */
  readonly register: RegisterLine[] = []
  private readonly errorLines: string[] = []
  private child: ChildProcess | undefined
  private starting: Promise<void> = Promise.resolve()
  private exited: Promise<number> = Promise.resolve(0)
  private endedAtOnce = false
  /** Largest resident memory that was read, bytes. */
  private peak = 0

  /** `words` are the arguments of Node.js, `environment` is added to that of this process. */
  constructor (readonly name: string, private readonly words: readonly string[], private readonly environment: Readonly<Record<string, string>> = {}) {}

  /** Starts the process and resolves with the first line that it prints. */
  async start (): Promise<string> {
    guard()
    const child = spawn(process.execPath, this.words, { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...this.environment } })
    this.child = child
    this.endedAtOnce = false
    running.add(this)
    this.exited = new Promise(resolve => {
      child.once('close', code => {
        if (this.child === child) running.delete(this)
        resolve(code ?? exitCodeOfSignal)
      })
    })
    readLines(child.stderr, line => { this.keepError(line) })
    return await new Promise((resolve, reject) => {
      let first = true
      readLines(child.stdout, line => {
        if (!first) this.keepRegister(line)
        if (first) resolve(line)
        first = false
      })
      child.once('close', code => { reject(new Error(`${this.name} ended with ${code} before it was ready: ${this.tail}`)) })
    })
  }

  get pid (): number {
    return this.child?.pid ?? 0
  }

  /** Last lines of the error output. */
  get tail (): string {
    return this.errorLines.join('\n')
  }

  /** Peak resident memory, bytes, as of the last reading. */
  get peakBytes (): number {
    return this.peak
  }

  /** Sends a signal to this process alone. */
  kill (signal: NodeJS.Signals): void {
    this.readPeak()
    this.child?.kill(signal)
  }

  /** Planned stop; resolves with the exit code. */
  async stop (): Promise<number> {
    this.kill('SIGTERM')
    return await this.exited
  }

  /** Ends the process at once and resolves when it is gone. */
  async end (): Promise<void> {
    this.endedAtOnce = true
    this.kill('SIGKILL')
    await this.exited
  }

  /** Whether `end` was called since the process started last. */
  get wasEndedAtOnce (): boolean {
    return this.endedAtOnce
  }

  get isRunning (): boolean {
    return running.has(this)
  }

  /** Starts the process anew, with the same words and thus at the same addresses, unless it runs. Resolves too if `end` is called before it is ready. */
  async ensureRunning (): Promise<void> {
    const starting = this.starting.then(async () => { if (!this.isRunning) await this.startUnlessEnded() })
    this.starting = starting.catch(() => {})
    await starting
  }

  private async startUnlessEnded (): Promise<void> {
    try {
      await this.start()
    } catch (error) {
      if (!this.endedAtOnce) throw error
    }
  }

  /** Reads the peak resident memory from the process table. */
  readPeak (): void {
    try {
      const found = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))
      this.peak = Math.max(this.peak, Number(found?.[1] ?? 0) * 1024)
    } catch {
      // The process is gone; the last reading stays.
    }
  }

  /** Memory that the process holds now, its part of shared pages counted, bytes. */
  get proportionalBytes (): number {
    try {
      const found = /^Pss:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.pid}/smaps_rollup`, 'utf8'))
      return Number(found?.[1] ?? 0) * 1024
    } catch {
      return 0
    }
  }

  private keepError (line: string): void {
    this.errorLines.push(line)
    if (this.errorLines.length > tailLines) this.errorLines.shift()
  }

  private keepRegister (line: string): void {
    if (line.startsWith('{')) this.register.push(JSON.parse(line) as RegisterLine)
  }
}

/** Ends every process that the script started and still runs. */
export function endAll (): void {
  for (const managed of running) managed.kill('SIGKILL')
}

function guard (): void {
  if (guarded) return
  guarded = true
  process.on('exit', endAll)
  for (const signal of signalsThatEnd) process.once(signal, () => { process.exit(1) })
}

function readLines (stream: NodeJS.ReadableStream | null, take: (line: string) => void): void {
  let rest = ''
  stream?.on('data', (part: Buffer) => {
    const lines = (rest + part.toString('utf8')).split('\n')
    rest = lines.pop() ?? ''
    for (const line of lines) take(line)
  })
}
