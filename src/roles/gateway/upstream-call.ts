/** One attempt of a request: its call to one upstream. */
import { request as httpRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { addId, mayFollow, type SentIds } from '../../core/event-ids.js'
import { EventSplitter, isEvent, type StreamEvent } from '../../core/event-splitter.js'
import { isComplete, isFramed } from '../../transports/answer-end.js'
import { findHeadProblem } from '../../transports/answer-head.js'
import { discardBody, briefDiscardLimits } from '../../transports/discard-body.js'
import type { AnswerHead, RequestCodec } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { isAnswerTo, isPersistent, watchForEnd } from './answer-framing.js'
import type { CallResult } from './call-result.js'
import type { EventSink } from './event-sink.js'
import { heldAnswers } from './held-answers.js'

/** Parameters of a call; deadlines are milliseconds of the monotonic clock. */
export interface UpstreamCall {
  /** IP and port. */
  readonly address: string
  readonly method: string
  /** Path and query. */
  readonly target: string
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body: Buffer
  readonly agent: Agent
  /** Ids that the caller has of a stream that the call resumes; undefined for one from the start. */
  readonly resumedAfter: SentIds | undefined
  /** Id that the answer must carry; the first one on a connection may carry none. */
  readonly requestId: string
  /** When there must be a connection; past it nothing is sent, since the headers and the slot may no longer hold. */
  readonly connectBy: number
  /** Whether the upstream gets no more requests; checked when there is a connection, before anything is sent. */
  readonly isWithdrawn: () => boolean
  /** When the call counts as silent without the answer's head or, for a stream, its first event. */
  readonly firstResponseBy: number
  /** Time after an event of a stream at which the call counts as silent, milliseconds. */
  readonly inactivityTimeoutMilliseconds: number
  /** Deadline of the complete answer. */
  readonly finishBy: number
  /** Called with the answer's head before any of its body is handled. */
  readonly headReceived: (head: AnswerHead) => void
  /** Called for the head of an answer and for each part of a stream. */
  readonly bytesReceived: () => void
  /** Called each time when the call becomes silent; it goes on until it is cancelled or `finishBy` has passed. */
  readonly silent: () => void
  /** Called if the upstream closes the connection right after a complete error, without having said that it would. */
  readonly lostAfterError: () => void
  /** Called once: with true for the first event or the complete answer, with false when the call ends without one. */
  readonly started: (isAnswer: boolean) => void
}

/** Timers may fire up to this much early, milliseconds. */
const timerToleranceMilliseconds = 5
/** Largest answer or stream, bytes; a caller that reads slowly has this much waiting at most. */
const maximumAnswerBytes = 8 << 20
/** Largest event of a stream, bytes. */
const maximumEventBytes = 1 << 20
/** Largest number of interim answers (status 1xx); an upstream could send them until the deadline. */
const maximumInterimAnswers = 100

/** Makes a call; events of a stream with status 200 go to `sink`, any other answer is buffered and returned in the result. */
export class CallInProgress {
  readonly result: Promise<CallResult>
  private resolveResult: (result: CallResult) => void = () => {}
  private isFinished = false
  private hasPaused = false
  private interimAnswers = 0
  private hasSocket = false
  /** Ids of a resumed stream, as far as its next event must follow them. */
  private precedingIds: SentIds | undefined
  private isConnected = false
  private hasStarted = false
  private timer: NodeJS.Timeout | undefined
  /** When the timer fires; it is armed again if the deadline has been moved meanwhile, which is rarer than the events of a stream. */
  private timerAt = 0
  private deadline = 0
  private actAtDeadline: () => void = () => {}
  private readonly outgoing: ClientRequest

  constructor (private readonly call: UpstreamCall, private readonly codec: RequestCodec, private readonly sink: EventSink | undefined) {
    this.result = new Promise(resolve => { this.resolveResult = resolve })
    const [host = '', port = ''] = call.address.split(':')
    this.outgoing = httpRequest({ host, port, method: call.method, path: call.target, agent: call.agent, headers: { ...call.headers, 'content-length': String(call.body.length) }, setHost: false })
    this.outgoing.on('socket', socket => {
      this.hasSocket = true
      if (socket.connecting) socket.once('connect', () => { this.handleConnected() })
      else this.handleConnected()
    })
    this.outgoing.on('error', () => { this.finish(this.isConnected ? { kind: 'lost', reason: 'reset' } : { kind: 'not-run', reason: 'unreachable' }) })
    this.outgoing.on('information', () => { this.handleInterimAnswer() })
    this.outgoing.on('response', answer => { this.handleAnswer(answer) })
    this.outgoing.on('upgrade', (_answer, socket) => {
      socket.destroy()
      this.abandon({ kind: 'lost', reason: 'invalid-status' })
    })
    this.watch(call.connectBy, () => { this.abandon({ kind: 'not-run', reason: this.hasSocket ? 'unreachable' : 'no-connection' }) })
    this.outgoing.end(call.body)
  }

  /** Whether nothing has come for so long that another upstream may be called as well. */
  get isSilent (): boolean {
    return this.hasPaused
  }

  /** Cancels the call; the upstream drops the request when its connection closes. */
  cancel (): void {
    this.abandon(this.isConnected ? { kind: 'lost', reason: this.hasPaused ? 'silent' : 'cancelled' } : { kind: 'not-run', reason: 'withdrawn' })
  }

  /** Cancels the call unless its answer has begun, of which an event may be on its way. */
  withdraw (): void {
    if (!this.hasStarted) this.abandon(this.isConnected ? { kind: 'lost', reason: 'withdrawn' } : { kind: 'not-run', reason: 'withdrawn' })
  }

  private handleConnected (): void {
    if (this.isFinished) return
    // After a pause of this process a connection is reported before the timer of its deadline.
    if (this.call.isWithdrawn() || monotonicNow() > this.call.connectBy) {
      this.abandon({ kind: 'not-run', reason: 'withdrawn' })
      return
    }
    this.isConnected = true
    this.watch(this.call.firstResponseBy, () => { this.handleSilence() })
  }

  private handleInterimAnswer (): void {
    this.interimAnswers += 1
    if (this.interimAnswers > maximumInterimAnswers) this.abandon({ kind: 'lost', reason: 'too-large' })
  }

  private handleAnswer (answer: IncomingMessage): void {
    const head = this.codec.answerHead(answer.statusCode ?? 0, answer.headers)
    answer.on('error', () => { this.finish({ kind: 'lost', reason: 'reset' }) })
    const problem = findHeadProblem(answer)
    if (problem !== undefined) {
      // Nothing else in such a head is believed, nor that the request was not run.
      this.abandon({ kind: 'lost', reason: problem.reason })
      return
    }
    const isForAnotherRequest = !isAnswerTo(this.call.requestId, head, this.outgoing)
    if (!isForAnotherRequest) this.call.headReceived(head)
    this.call.bytesReceived()
    const isUnsigned = head.status < 300 && (!head.isSigned || head.isEncoded)
    if (isForAnotherRequest || (isUnsigned && !head.isNotRun)) this.abandon({ kind: 'lost', reason: 'wrong-answer' })
    else if (head.isNotRun) this.handleRefusal(answer, head)
    else if (this.sink !== undefined && head.status === 200) this.readStream(answer, this.sink)
    else this.readAnswer(answer, head)
  }

  private handleRefusal (answer: IncomingMessage, head: AnswerHead): void {
    discardBody(answer, briefDiscardLimits())
    this.finish({ kind: 'not-run', reason: head.isMisdirected ? 'misdirected' : 'shed' })
  }

  private readAnswer (answer: IncomingMessage, head: AnswerHead): void {
    const { socket } = answer
    const parts: Buffer[] = []
    const room = heldAnswers.open()
    let bytes = 0
    this.hasPaused = false
    this.watch(this.call.finishBy, () => { this.handleSilence() })
    answer.on('data', (part: Buffer) => {
      parts.push(part)
      bytes += part.length
      if (bytes > maximumAnswerBytes) {
        parts.length = 0
        this.abandon({ kind: 'lost', reason: 'too-large' })
      } else if (!room.receive(bytes, monotonicNow(), () => { answer.resume() })) answer.pause()
    })
    answer.on('close', () => { room.close() })
    this.whenComplete(answer, () => {
      if (head.status >= 500 && isPersistent(answer, this.outgoing)) watchForEnd(socket, this.call.lostAfterError)
      this.finish({ kind: 'answer', head, headers: answer.headers, body: Buffer.concat(parts), isFramed: isFramed(answer) })
    })
  }

  /** Whether events continue the stream that the call resumes, if it does. */
  private areContinuing (events: readonly StreamEvent[]): boolean {
    const { resumedAfter } = this.call
    if (resumedAfter === undefined) return true
    return events.every(event => {
      const preceding = this.precedingIds ?? resumedAfter
      // Past the event that resumes the stream its ids are those of one upstream, which only have to rise.
      if (event.id !== undefined) this.precedingIds = { ...addId(preceding, event.id), largestStep: undefined }
      return isEvent(event) && mayFollow(preceding, event.id)
    })
  }

  private readStream (answer: IncomingMessage, sink: EventSink): void {
    const splitter = new EventSplitter()
    const room = heldAnswers.open()
    let hasBegun = false
    let bytes = 0
    answer.on('data', (part: Buffer) => {
      if (this.isFinished) return
      this.call.bytesReceived()
      bytes += part.length
      if (bytes > maximumAnswerBytes || splitter.bufferedBytes + part.length > maximumEventBytes) {
        this.abandon({ kind: 'lost', reason: 'too-large' })
        return
      }
      const events = splitter.push(part)
      if (events.length === 0) return
      if (!this.areContinuing(events)) {
        this.abandon({ kind: 'lost', reason: 'wrong-answer', isDiscontinuous: true })
        return
      }
      if (!hasBegun) {
        hasBegun = true
        this.reportStarted(true)
        sink.begin(answer.headers)
      }
      for (const event of events) sink.event(event)
      if (!room.hold(sink.waitingBytes)) {
        this.abandon({ kind: 'lost', reason: 'too-large' })
        return
      }
      const nextEventBy = Math.min(this.call.finishBy, monotonicNow() + this.call.inactivityTimeoutMilliseconds)
      this.hasPaused = false
      this.watch(nextEventBy, () => { this.handleSilence() })
    })
    answer.on('close', () => { room.close() })
    this.whenComplete(answer, () => {
      if (splitter.bufferedBytes > 0 || (!hasBegun && this.call.resumedAfter === undefined)) {
        this.finish({ kind: 'lost', reason: 'incomplete' })
        return
      }
      // A resumed stream may have no events left; the caller still needs the signed head.
      if (!hasBegun && !this.isFinished) sink.begin(answer.headers)
      this.finish({ kind: 'stream-ended', isFramed: isFramed(answer), isEmpty: !hasBegun })
    })
  }

  /** Calls `handle` when the answer ends complete. */
  private whenComplete (answer: IncomingMessage, handle: () => void): void {
    answer.on('end', () => {
      if (isComplete(answer)) handle()
      else this.finish({ kind: 'lost', reason: 'incomplete' })
    })
    answer.on('close', () => { this.finish({ kind: 'lost', reason: 'incomplete' }) })
  }

  private reportStarted (isAnswer: boolean): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.call.started(isAnswer)
  }

  /** Replaces the deadline of the call, at which `act` runs. */
  private watch (deadline: number, act: () => void): void {
    this.deadline = deadline
    this.actAtDeadline = act
    if (this.timer === undefined || this.timerAt > deadline) this.armTimer()
  }

  private armTimer (): void {
    clearTimeout(this.timer)
    this.timerAt = this.deadline
    this.timer = setTimeout(() => { this.handleTimer() }, Math.max(0, this.deadline - monotonicNow()))
  }

  private handleTimer (): void {
    this.timer = undefined
    if (monotonicNow() < this.deadline - timerToleranceMilliseconds) this.armTimer()
    else this.actAtDeadline()
  }

  /** Reports that nothing has come in time; ends the call only at its deadline, as the upstream may go on. */
  private handleSilence (): void {
    if (monotonicNow() >= this.call.finishBy - timerToleranceMilliseconds) {
      this.abandon({ kind: 'lost', reason: 'timeout' })
      return
    }
    this.hasPaused = true
    this.watch(this.call.finishBy, () => { this.handleSilence() })
    this.call.silent()
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
