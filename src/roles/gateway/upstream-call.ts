/** One request at one upstream. */
import { request as httpRequest, type Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { EventSplitter, type StreamEvent } from '../../core/event-split.js'
import type { AnswerHead, RequestCodec } from '../../types/ports.js'
import { steadyNow } from '../../utils/clock.js'
import { socketStateOf } from './upstream-connections.js'

/** How a call ended. */
export type CallResult =
  | { readonly kind: 'answer', readonly head: AnswerHead, readonly headers: IncomingHttpHeaders, readonly body: Buffer, readonly isFramed: boolean }
  /** The stream ended in order; one that is not framed may lack events, as its end says nothing. */
  | { readonly kind: 'stream-ended', readonly isFramed: boolean }
  /** The upstream has certainly not run the request. */
  | { readonly kind: 'not-run', readonly reason: NotRunReason }
  /** The upstream may have run the request. */
  | { readonly kind: 'lost', readonly reason: LostReason }

export type NotRunReason = 'unreachable' | 'shed' | 'misdirected'
export type LostReason = 'reset' | 'silent' | 'timeout' | 'wrong-answer' | 'incomplete' | 'cancelled'

/** A call; deadlines in steady milliseconds. */
export interface UpstreamCall {
  readonly address: string
  readonly method: string
  readonly target: string
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body: Buffer
  readonly agent: Agent
  /** Whether it goes on with a stream of which the caller has events. */
  readonly isResumed: boolean
  readonly requestId: string
  readonly connectBy: number
  /** By when the head of the answer, or a stream's first event, must have come. */
  readonly firstResponseBy: number
  /** Longest silence between two events, milliseconds. */
  readonly inactivityTimeoutMilliseconds: number
  readonly finishBy: number
  /** Told of the answer's head before anything else of it. */
  readonly headReceived: (head: AnswerHead) => void
  /** Told of any bytes of an answer. */
  readonly bytesReceived: () => void
  /** Told once, when the first event or the whole answer is there, or the call has ended without. */
  readonly started: (isAnswer: boolean) => void
}

/** Takes a stream as it comes. */
export interface EventSink {
  /** The stream's head, before its first event. */
  begin (headers: IncomingHttpHeaders, isFramed: boolean): void
  event (event: StreamEvent): void
}

/** Timers may fire this early, milliseconds. */
const timerToleranceMilliseconds = 5
/** Largest answer that is held whole, bytes. */
const maximumAnswerBytes = 8 << 20

/** Makes a call; events of a successful stream go to `sink`, any other answer comes back whole. */
export class CallInProgress {
  readonly result: Promise<CallResult>
  private resolveResult: (result: CallResult) => void = () => {}
  private isFinished = false
  private isConnected = false
  private hasStarted = false
  private timer: NodeJS.Timeout | undefined
  private readonly outgoing: ClientRequest

  constructor (private readonly call: UpstreamCall, private readonly codec: RequestCodec, private readonly sink: EventSink | undefined) {
    this.result = new Promise(resolve => { this.resolveResult = resolve })
    const [host = '', port = ''] = call.address.split(':')
    this.outgoing = httpRequest({ host, port, method: call.method, path: call.target, agent: call.agent, headers: { ...call.headers, 'content-length': String(call.body.length) }, setHost: false })
    this.outgoing.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { this.handleConnected() })
      else this.handleConnected()
    })
    this.outgoing.on('error', () => { this.finish(this.isConnected ? { kind: 'lost', reason: 'reset' } : { kind: 'not-run', reason: 'unreachable' }) })
    this.outgoing.on('response', answer => { this.handleAnswer(answer) })
    this.watch(call.connectBy, () => { this.abandon({ kind: 'not-run', reason: 'unreachable' }) })
    this.outgoing.end(call.body)
  }

  /** Gives the call up; the upstream drops the request with its connection. */
  cancel (): void {
    this.abandon({ kind: 'lost', reason: 'cancelled' })
  }

  private handleConnected (): void {
    if (this.isFinished) return
    this.isConnected = true
    this.watch(this.call.firstResponseBy, () => { this.abandonUnresponsive() })
  }

  private handleAnswer (answer: IncomingMessage): void {
    const head = this.codec.answerHead(answer.statusCode ?? 0, answer.headers)
    answer.on('error', () => { this.finish({ kind: 'lost', reason: 'reset' }) })
    this.call.headReceived(head)
    this.call.bytesReceived()
    const isOther = head.requestId !== undefined && head.requestId !== this.call.requestId
    const isUnsigned = head.status < 300 && (!head.isSigned || head.isEncoded)
    if (isOther || (isUnsigned && !head.isNotRun)) this.abandon({ kind: 'lost', reason: 'wrong-answer' })
    else if (head.isNotRun) this.handleRefusal(answer, head)
    else if (this.sink !== undefined && head.status === 200) this.readStream(answer, this.sink)
    else this.readAnswer(answer, head)
  }

  private handleRefusal (answer: IncomingMessage, head: AnswerHead): void {
    answer.resume()
    this.finish({ kind: 'not-run', reason: head.isMisdirected ? 'misdirected' : 'shed' })
  }

  private readAnswer (answer: IncomingMessage, head: AnswerHead): void {
    const parts: Buffer[] = []
    let bytes = 0
    this.watch(this.call.finishBy, () => { this.abandonUnresponsive() })
    answer.on('data', (part: Buffer) => {
      parts.push(part)
      bytes += part.length
      if (bytes > maximumAnswerBytes) this.abandon({ kind: 'lost', reason: 'wrong-answer' })
    })
    this.whenComplete(answer, () => { this.finish({ kind: 'answer', head, headers: answer.headers, body: Buffer.concat(parts), isFramed: isFramed(answer) }) })
  }

  private readStream (answer: IncomingMessage, sink: EventSink): void {
    const splitter = new EventSplitter()
    let hasBegun = false
    answer.on('data', (part: Buffer) => {
      if (this.isFinished) return
      this.call.bytesReceived()
      const events = splitter.push(part)
      if (events.length === 0) return
      if (!hasBegun) {
        hasBegun = true
        this.reportStarted(true)
        sink.begin(answer.headers, isFramed(answer))
      }
      for (const event of events) sink.event(event)
      const silentAt = Math.min(this.call.finishBy, steadyNow() + this.call.inactivityTimeoutMilliseconds)
      this.watch(silentAt, () => { this.abandonUnresponsive() })
    })
    this.whenComplete(answer, () => {
      if (splitter.hasRest || (!hasBegun && !this.call.isResumed)) {
        this.finish({ kind: 'lost', reason: 'incomplete' })
        return
      }
      // A resumed stream may have no event left; its caller still needs the signed head.
      if (!hasBegun && !this.isFinished) sink.begin(answer.headers, isFramed(answer))
      this.finish({ kind: 'stream-ended', isFramed: isFramed(answer) })
    })
  }

  /** Calls back once the answer is whole; an answer without a length is whole only when its connection was closed in order. */
  private whenComplete (answer: IncomingMessage, done: () => void): void {
    const { socket } = answer
    answer.on('end', () => {
      const marks = socketStateOf(socket)
      const isWhole = answer.complete && (isFramed(answer) || (marks.hasEnded && !marks.hasFailed))
      if (isWhole) done()
      else this.finish({ kind: 'lost', reason: 'incomplete' })
    })
    answer.on('close', () => { this.finish({ kind: 'lost', reason: 'incomplete' }) })
  }

  private reportStarted (isAnswer: boolean): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.call.started(isAnswer)
  }

  private watch (deadline: number, act: () => void): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(act, Math.max(0, deadline - steadyNow()))
  }

  private abandonUnresponsive (): void {
    this.abandon({ kind: 'lost', reason: steadyNow() >= this.call.finishBy - timerToleranceMilliseconds ? 'timeout' : 'silent' })
  }

  private abandon (result: CallResult): void {
    this.finish(result)
    this.outgoing.destroy()
  }

  private finish (result: CallResult): void {
    if (this.isFinished) return
    this.isFinished = true
    clearTimeout(this.timer)
    this.reportStarted(result.kind === 'answer')
    this.resolveResult(result)
  }
}

/** Whether an answer states where it ends. */
function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined || answer.statusCode === 204 || answer.statusCode === 304
}
