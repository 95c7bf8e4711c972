/** HTTP calls whose request and answer bodies are held in memory. */
import { request, type Agent, type IncomingHttpHeaders } from 'node:http'
import { monotonicNow } from '../utils/clock.js'
import { isComplete } from './answer-end.js'
import { findHeadProblem, invalidStatus, type HeadProblem } from './answer-head.js'
import { CheckedAgent } from './checked-agent.js'
import { observeConnection } from './connection-end.js'
import { OwnDelay } from '../utils/process-delay.js'

/** Longest time without a byte of an answer that has begun, milliseconds; a link that is full delays a packet by half a second. */
const inactivityMilliseconds = 1200
/** Longest time from the deadline of an answer's head to that of its end, milliseconds, so that a trickle ends. */
const maximumTransferMilliseconds = 15_000

/** Largest bodies of answers by what they hold, bytes; an answer without end must not take the memory of the process. */
export const maximumAnswerBytes = {
  /** States, orders and acknowledgements. */
  control: 1 << 20,
  /** Digests of all chunks of a version. */
  manifest: 4 << 20,
  chunk: 8 << 20,
  /** A read of records: at most 1,024 small ones, or all pages of the newest. */
  records: 32 << 20
} as const

/** Deadlines of an answer by its progress. */
export interface ProgressDeadlines {
  /** When the head must have arrived, milliseconds of the monotonic clock. */
  readonly headDeadline: number
  /** Longest time without a byte after the head, milliseconds; becomes a deadline with each byte. */
  readonly inactivityMilliseconds: number
}

/** Time after which an idle connection of a call that names no agent is closed, milliseconds. */
const idleTimeoutMilliseconds = 5000

const connections = new CheckedAgent({ keepAlive: true, timeout: idleTimeoutMilliseconds })

/** A call to `address`, `ip:port`; `deadline`, of the complete answer, in milliseconds of the monotonic clock. */
export interface HttpCall {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly body?: Buffer | string | undefined
  readonly headers?: Readonly<Record<string, string>> | undefined
  readonly deadline: number
  /** Largest body that is received; the call fails with a larger one. */
  readonly maximumBytes: number
  readonly progress?: ProgressDeadlines | undefined
  readonly agent?: Agent | undefined
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Time from the call until the head of the answer arrived, milliseconds. */
  readonly firstByteMilliseconds: number
  /** Time from the call until the answer was complete, milliseconds. */
  readonly milliseconds: number
}

/** Rejection of a call without a complete answer; `receivedBytes` of its body had arrived. */
export class HttpCallError extends Error {
  constructor (cause: Error, readonly receivedBytes: number) {
    super(cause.message, { cause })
  }
}

/** Rejection of a call whose answer is larger than the call allows. */
export class AnswerTooLargeError extends HttpCallError {}

/** Deadlines of a call whose answer may be large: it is received as long as bytes keep arriving, up to a limit. */
export function deadlinesByProgress (headDeadline: number): Pick<HttpCall, 'deadline' | 'progress'> {
  return { deadline: headDeadline + maximumTransferMilliseconds, progress: { headDeadline, inactivityMilliseconds } }
}

/** Makes a call; rejects with `HttpCallError` if the answer does not meet its deadlines. */
export function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const [host = '', port = ''] = call.address.split(':')
  const startedAt = monotonicNow()
  return new Promise((resolve, reject) => {
    const length = call.body === undefined ? {} : { 'content-length': String(Buffer.byteLength(call.body)) }
    const outgoing = request({ host, port, method: call.method, path: call.path, agent: call.agent ?? connections, headers: { ...call.headers, ...length } })
    const watch = new AnswerWatch(call, reason => {
      fail(new Error(reason))
      outgoing.destroy()
    })
    const fail = (error: Error): void => {
      watch.stop()
      const Failure = watch.hasTooMuch ? AnswerTooLargeError : HttpCallError
      reject(new Failure(error, watch.receivedBytes))
    }
    outgoing.on('socket', observeConnection)
    outgoing.on('error', fail)
    outgoing.on('upgrade', (answer, socket) => {
      socket.destroy()
      fail(headError(call.address, invalidStatus(answer.statusCode ?? 0)))
    })
    outgoing.on('response', answer => {
      watch.receive(0)
      const firstByteMilliseconds = monotonicNow() - startedAt
      const problem = findHeadProblem(answer)
      if (problem !== undefined) {
        fail(headError(call.address, problem))
        outgoing.destroy()
        return
      }
      const parts: Buffer[] = []
      answer.on('data', (part: Buffer) => {
        parts.push(part)
        watch.receive(part.length)
        if (watch.hasTooMuch) parts.length = 0
      })
      answer.on('error', fail)
      answer.on('end', () => {
        if (!isComplete(answer)) {
          fail(new Error(`the answer from ${call.address} was cut after ${watch.receivedBytes} bytes`))
          return
        }
        watch.stop()
        resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: Buffer.concat(parts), firstByteMilliseconds, milliseconds: monotonicNow() - startedAt })
      })
    })
    outgoing.end(call.body)
  })
}

function headError (address: string, { text }: HeadProblem): Error {
  return new Error(`the answer from ${address} has ${text}`)
}

/** Calls `expire` with the reason once an answer misses a deadline; what has been received decides which one is next. */
class AnswerWatch {
  receivedBytes = 0
  private hasHead = false
  /** Deadline of the next progress, milliseconds of the monotonic clock. */
  private progressBy: number
  private timer: NodeJS.Timeout | undefined
  /** Since the last progress; the deadlines move by it. */
  private ownDelay = new OwnDelay()

  constructor (private readonly call: HttpCall, private readonly expire: (reason: string) => void) {
    this.progressBy = call.progress?.headDeadline ?? Infinity
    this.wait()
  }

  /** Whether the body is larger than the call allows. */
  get hasTooMuch (): boolean {
    return this.receivedBytes > this.call.maximumBytes
  }

  /** Records the head, or bytes of the body. */
  receive (bytes: number): void {
    this.hasHead = true
    this.receivedBytes += bytes
    if (this.hasTooMuch) {
      this.expire(`the answer from ${this.call.address} exceeds ${this.call.maximumBytes} bytes`)
      return
    }
    this.ownDelay = new OwnDelay()
    if (this.call.progress !== undefined) this.progressBy = monotonicNow() + this.call.progress.inactivityMilliseconds
  }

  stop (): void {
    clearTimeout(this.timer)
  }

  /** Waits for the deadline that is next now; by then, progress may have moved it. */
  private wait (): void {
    const deadline = this.nextDeadline()
    this.timer = setTimeout(() => { this.check() }, Math.max(0, Math.ceil(deadline - monotonicNow())))
  }

  private check (): void {
    const now = monotonicNow()
    if (now < this.nextDeadline()) this.wait()
    else this.expire(this.problem(now))
  }

  private nextDeadline (): number {
    return Math.min(this.call.deadline, this.progressBy) + this.ownDelay.milliseconds
  }

  private problem (now: number): string {
    const { address, deadline } = this.call
    if (!this.hasHead) return `no answer from ${address} in time`
    if (now < deadline) return `the answer from ${address} stopped after ${this.receivedBytes} bytes`
    return `the answer from ${address} is not complete in time: ${this.receivedBytes} bytes`
  }
}
