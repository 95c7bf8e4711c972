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
  readonly firstBy: number
  /** Longest silence between two events, milliseconds. */
  readonly silenceMilliseconds: number
  readonly finishBy: number
  /** Told of the answer's head before anything else of it. */
  readonly heard: (head: AnswerHead) => void
  /** Told of any bytes of an answer. */
  readonly alive: () => void
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
const timerMilliseconds = 5
/** Largest answer that is held whole, bytes. */
const mostAnswerBytes = 8 << 20

/** Makes a call; events of a successful stream go to `sink`, any other answer comes back whole. */
export class CallInProgress {
  readonly result: Promise<CallResult>
  private settle: (result: CallResult) => void = () => {}
  private isSettled = false
  private isConnected = false
  private hasStarted = false
  private timer: NodeJS.Timeout | undefined
  private readonly outgoing: ClientRequest

  constructor (private readonly call: UpstreamCall, private readonly codec: RequestCodec, private readonly sink: EventSink | undefined) {
    this.result = new Promise(resolve => { this.settle = resolve })
    const [host = '', port = ''] = call.address.split(':')
    this.outgoing = httpRequest({ host, port, method: call.method, path: call.target, agent: call.agent, headers: { ...call.headers, 'content-length': String(call.body.length) }, setHost: false })
    this.outgoing.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { this.noteConnected() })
      else this.noteConnected()
    })
    this.outgoing.on('error', () => { this.finish(this.isConnected ? { kind: 'lost', reason: 'reset' } : { kind: 'not-run', reason: 'unreachable' }) })
    this.outgoing.on('response', answer => { this.takeAnswer(answer) })
    this.watch(call.connectBy, () => { this.abandon({ kind: 'not-run', reason: 'unreachable' }) })
    this.outgoing.end(call.body)
  }

  /** Gives the call up; the upstream drops the request with its connection. */
  cancel (): void {
    this.abandon({ kind: 'lost', reason: 'cancelled' })
  }

  private noteConnected (): void {
    if (this.isSettled) return
    this.isConnected = true
    this.watch(this.call.firstBy, () => { this.abandonSilent() })
  }

  private takeAnswer (answer: IncomingMessage): void {
    const head = this.codec.answerHead(answer.statusCode ?? 0, answer.headers)
    answer.on('error', () => { this.finish({ kind: 'lost', reason: 'reset' }) })
    this.call.heard(head)
    this.call.alive()
    const isOther = head.requestId !== undefined && head.requestId !== this.call.requestId
    const isUnsigned = head.status < 300 && (!head.isSigned || head.isEncoded)
    if (isOther || (isUnsigned && !head.isNotRun)) this.abandon({ kind: 'lost', reason: 'wrong-answer' })
    else if (head.isNotRun) this.refuse(answer, head)
    else if (this.sink !== undefined && head.status === 200) this.takeStream(answer, this.sink)
    else this.takeWhole(answer, head)
  }

  private refuse (answer: IncomingMessage, head: AnswerHead): void {
    answer.resume()
    this.finish({ kind: 'not-run', reason: head.isMisdirected ? 'misdirected' : 'shed' })
  }

  private takeWhole (answer: IncomingMessage, head: AnswerHead): void {
    const parts: Buffer[] = []
    let bytes = 0
    this.watch(this.call.finishBy, () => { this.abandonSilent() })
    answer.on('data', (part: Buffer) => {
      parts.push(part)
      bytes += part.length
      if (bytes > mostAnswerBytes) this.abandon({ kind: 'lost', reason: 'wrong-answer' })
    })
    this.whenWhole(answer, () => { this.finish({ kind: 'answer', head, headers: answer.headers, body: Buffer.concat(parts), isFramed: isFramed(answer) }) })
  }

  private takeStream (answer: IncomingMessage, sink: EventSink): void {
    const splitter = new EventSplitter()
    let hasBegun = false
    answer.on('data', (part: Buffer) => {
      if (this.isSettled) return
      this.call.alive()
      const events = splitter.push(part)
      if (events.length === 0) return
      if (!hasBegun) {
        hasBegun = true
        this.noteStarted(true)
        sink.begin(answer.headers, isFramed(answer))
      }
      for (const event of events) sink.event(event)
      const silentAt = Math.min(this.call.finishBy, steadyNow() + this.call.silenceMilliseconds)
      this.watch(silentAt, () => { this.abandonSilent() })
    })
    this.whenWhole(answer, () => {
      if (splitter.hasRest || (!hasBegun && !this.call.isResumed)) {
        this.finish({ kind: 'lost', reason: 'incomplete' })
        return
      }
      // A resumed stream may have no event left; its caller still needs the signed head.
      if (!hasBegun && !this.isSettled) sink.begin(answer.headers, isFramed(answer))
      this.finish({ kind: 'stream-ended', isFramed: isFramed(answer) })
    })
  }

  /** Calls back once the answer is whole; an answer without a length is whole only when its connection was closed in order. */
  private whenWhole (answer: IncomingMessage, done: () => void): void {
    const { socket } = answer
    answer.on('end', () => {
      const marks = socketStateOf(socket)
      const isWhole = answer.complete && (isFramed(answer) || (marks.hasEnded && !marks.hasFailed))
      if (isWhole) done()
      else this.finish({ kind: 'lost', reason: 'incomplete' })
    })
    answer.on('close', () => { this.finish({ kind: 'lost', reason: 'incomplete' }) })
  }

  private noteStarted (isAnswer: boolean): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.call.started(isAnswer)
  }

  private watch (deadline: number, act: () => void): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(act, Math.max(0, deadline - steadyNow()))
  }

  private abandonSilent (): void {
    this.abandon({ kind: 'lost', reason: steadyNow() >= this.call.finishBy - timerMilliseconds ? 'timeout' : 'silent' })
  }

  private abandon (result: CallResult): void {
    this.finish(result)
    this.outgoing.destroy()
  }

  private finish (result: CallResult): void {
    if (this.isSettled) return
    this.isSettled = true
    clearTimeout(this.timer)
    this.noteStarted(result.kind === 'answer')
    this.settle(result)
  }
}

/** Whether an answer states where it ends. */
function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined || answer.statusCode === 204 || answer.statusCode === 304
}
