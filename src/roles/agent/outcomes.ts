/** Outcomes of requests by request id and by claimed key, within bounds on their number and size. */
import type { Failure } from '../../errors.js'
import type { OutcomeReply, OutcomeRequest } from '../../transports/control.js'

const maximumRuns = 50_000
const maximumAnswerBytes = 16 << 20
/** Allowance for clock differences when a deadline is compared with this agent's clock. */
const clockToleranceMilliseconds = 10_000

/** A complete answer of the upstream. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** How a run ended. */
export type RunResult =
  | { readonly kind: 'answer', readonly answer: StoredAnswer }
  /** A stream that was relayed completely and is not retained. */
  | { readonly kind: 'streamed' }
  | { readonly kind: 'failure', readonly failure: Failure, readonly claimHolder: string }

/** One request at this agent. */
export class Run {
  result: RunResult | undefined
  /** Whether the answer's body was deleted to stay within the size bound. */
  isPruned = false
  /** Resolves when the result is known. */
  readonly resolved: Promise<void>
  private notifyResolved: () => void = () => {}

  constructor (readonly requestId: string, readonly key: string, readonly content: string, readonly deadline: number) {
    this.resolved = new Promise(resolve => { this.notifyResolved = resolve })
  }

  /** Sets the result; later results are ignored. */
  resolve (result: RunResult): void {
    this.result ??= result
    this.notifyResolved()
  }
}

/** Runs of this incarnation of the agent. */
export class OutcomeStore {
  private readonly byRequest = new Map<string, Run>()
  private readonly byKey = new Map<string, Run>()
  /** Runs whose answer is retained, oldest first. */
  private readonly retainedAnswers = new Set<Run>()
  private retainedBytes = 0
  /** Latest deadline of the evicted runs, epoch milliseconds; no entry asks for a run after its deadline. */
  private evictedUntil = 0
  /** Request ids whose outcome was reported as `not-run`; such a request is refused if it arrives later. */
  private readonly refused = new Set<string>()

  constructor (private readonly incarnation: string) {}

  /** Starts a run; undefined when its outcome was already reported as `not-run`. `key` is empty for a run without a claim. */
  start (requestId: string, key: string, content: string, deadline: number): Run | undefined {
    if (this.refused.has(requestId)) return undefined
    const run = new Run(requestId, key, content, deadline)
    this.byRequest.set(requestId, run)
    if (key !== '') this.byKey.set(key, run)
    this.evictOldest()
    return run
  }

  /** The run of a claimed key at this agent. */
  findByKey (key: string): Run | undefined {
    return this.byKey.get(key)
  }

  /** Sets the result of a run. A run that did not take place, or lost its claim, no longer holds its key here. */
  resolve (run: Run, result: RunResult): void {
    if (run.result !== undefined) return
    run.resolve(result)
    const holdsNoKey = result.kind === 'failure' && (result.failure.outcome === 'not-run' || result.claimHolder !== '')
    if (holdsNoKey && this.byKey.get(run.key) === run) this.byKey.delete(run.key)
    if (result.kind === 'answer') this.retainAnswer(run, result.answer)
  }

  /**
   * Outcome of a request id or key at this incarnation. For a request id that was sent to this incarnation and has not
   * arrived, the answer is `not-run`; the id is refused from then on, so that this stays true.
   */
  reply (request: OutcomeRequest): OutcomeReply {
    const run = request.key === '' ? this.byRequest.get(request.requestId) : this.byKey.get(request.key)
    if (run !== undefined) return this.describe(run)
    const isKnownAbsent = request.key === '' && request.incarnation === this.incarnation && Date.now() > this.evictedUntil + clockToleranceMilliseconds
    if (isKnownAbsent) this.refuse(request.requestId)
    return { outcome: isKnownAbsent ? 'not-run' : 'unknown', status: 0, answer: Buffer.alloc(0), incarnation: this.incarnation }
  }

  private refuse (requestId: string): void {
    this.refused.add(requestId)
    const [oldest] = this.refused
    if (this.refused.size > maximumRuns && oldest !== undefined) this.refused.delete(oldest)
  }

  private describe (run: Run): OutcomeReply {
    const { result } = run
    const empty = { status: 0, answer: Buffer.alloc(0), incarnation: this.incarnation }
    if (result === undefined) return { ...empty, outcome: 'running' }
    if (result.kind === 'failure') return { ...empty, outcome: result.failure.outcome }
    if (result.kind === 'streamed' || run.isPruned) return { ...empty, outcome: 'run' }
    return { ...empty, outcome: 'run', status: result.answer.status, answer: result.answer.body }
  }

  private retainAnswer (run: Run, answer: StoredAnswer): void {
    this.retainedAnswers.add(run)
    this.retainedBytes += answer.body.length
    while (this.retainedBytes > maximumAnswerBytes && this.retainedAnswers.size > 0) this.pruneOldestAnswer()
  }

  private pruneOldestAnswer (): void {
    const [oldest] = this.retainedAnswers
    if (oldest?.result?.kind !== 'answer') return
    this.retainedAnswers.delete(oldest)
    this.retainedBytes -= oldest.result.answer.body.length
    oldest.result = { kind: 'answer', answer: { ...oldest.result.answer, body: Buffer.alloc(0) } }
    oldest.isPruned = true
  }

  private evictOldest (): void {
    if (this.byRequest.size <= maximumRuns) return
    for (const [requestId, run] of this.byRequest) {
      if (run.result === undefined) continue
      this.byRequest.delete(requestId)
      if (this.retainedAnswers.delete(run) && run.result.kind === 'answer') this.retainedBytes -= run.result.answer.body.length
      if (this.byKey.get(run.key) === run) this.byKey.delete(run.key)
      this.evictedUntil = Math.max(this.evictedUntil, run.deadline)
      return
    }
  }
}
