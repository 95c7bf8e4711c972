/** Serves one checked request: chooses upstreams, retries what was not run, resumes broken answers. */
import type { ServerResponse } from 'node:http'
import type { CallerRequest } from '../../core/caller-request.js'
import { claimKey } from '../../core/claims.js'
import { intentsOf } from '../../core/configuration/resolve.js'
import { earliestRetry, maximumAttempts, addRetryJitter } from '../../core/retry.js'
import { candidatesOf, chooseUpstream, hasFreeSlot, type UpstreamRequirements, type UpstreamView } from '../../core/routing.js'
import { createFailure, type Failure, type FailureTag } from '../../errors.js'
import type { Configuration, Organisation } from '../../types/configuration.js'
import { AnswerTracker, type AttemptResult } from './attempt-input.js'
import { attempt, sendPlainAnswer } from './attempt.js'
import type { AnswerHost } from './host.js'
import { resolveLostRequest, resolveByOutcome, type Resolution } from './resolve-outcome.js'

const retryDelayMilliseconds = 500

/** Refusals after which another upstream may take the request. */
const retriedTags: ReadonlySet<FailureTag> = new Set(['busy', 'closed', 'leaving', 'data-centre-out', 'upstream-refused', 'isolated', 'no-configuration', 'late-deadline'])

/** One request on its way. */
export interface ServedRequest {
  readonly caller: CallerRequest
  readonly configuration: Configuration
  readonly organisation: Organisation
  /** Epoch milliseconds. */
  readonly receivedAt: number
  readonly response: ServerResponse
  readonly traceParent: string
  /** Aborts when nobody waits for the answer any more. */
  readonly signal: AbortSignal
}

/** Serves the request; a failure is returned for the caller to be told. */
export async function serve (host: AnswerHost, serving: ServedRequest): Promise<Failure | undefined> {
  return await new RequestDispatch(host, serving).run()
}

/** Step of a course: over, with or without a failure, or on to another upstream. */
type Step = { readonly kind: 'over', readonly failure: Failure | undefined } | { readonly kind: 'next' }

const nextUpstream: Step = { kind: 'next' }

/** The course of one request over its upstreams. */
class RequestDispatch {
  private readonly tried = new Set<string>()
  private readonly tracker: AnswerTracker
  private readonly retryTimes: number[] = []
  /** Last refusal, while nothing was lost. */
  private refusal: Failure | undefined
  private isLost = false

  constructor (private readonly host: AnswerHost, private readonly request: ServedRequest) {
    this.tracker = new AnswerTracker({ id: request.caller.id, weights: '', next: 0 })
  }

  async run (): Promise<Failure | undefined> {
    const startedAs = this.host.quarantine.statusOf(this.request.caller.fingerprint, Date.now())
    const most = startedAs.kind === 'suspect' ? 1 : maximumAttempts
    for (let sent = 0; sent < most; sent += 1) {
      const standing = this.host.quarantine.statusOf(this.request.caller.fingerprint, Date.now())
      if (standing.kind === 'quarantined') return this.quarantined(standing.until)
      const upstream = this.choose(standing.kind === 'suspect')
      if (upstream === undefined || (sent > 0 && !this.mayRetry())) return this.finalFailure()
      const step = await this.send(upstream, standing.kind === 'suspect')
      if (step.kind === 'over') return step.failure
      if (this.request.signal.aborted) return this.finalFailure()
    }
    return this.finalFailure()
  }

  private choose (suspect: boolean): UpstreamView | undefined {
    const { caller, configuration } = this.request
    const demand: UpstreamRequirements = { service: caller.service, weights: this.acceptableWeights(), prefix: caller.prefix, suspectFingerprint: suspect ? caller.fingerprint : '' }
    const candidates = candidatesOf(this.host.upstreams.views, demand, configuration, this.tried)
    const again = this.tried.size > 0
    const useful = candidates.filter(view => !again || (suspect ? view.load === 0 : hasFreeSlot(view)))
    return chooseUpstream(useful, demand, this.host.place, this.host.policy)
  }

  /** Digests that may answer, the newest intent first; the one that began the answer once a token was passed on. */
  private acceptableWeights (): readonly string[] | undefined {
    const { caller, configuration } = this.request
    if (caller.model === undefined) return undefined
    if (this.tracker.progress.next > 0) return [this.tracker.progress.weights]
    const { revisions } = this.host.state
    return intentsOf(configuration, revisions, caller.service, caller.organisation).map(({ manifest }) => manifest)
  }

  private mayRetry (): boolean {
    const { caller, organisation } = this.request
    if (!this.host.pace.canMeet(caller.service, caller.deadline, Date.now())) return false
    return this.host.budget.take(caller.organisation, organisation.retriesPerSecond, Date.now())
  }

  private async send (upstream: UpstreamView, suspect: boolean): Promise<Step> {
    const { caller, organisation, receivedAt, response, signal, traceParent } = this.request
    const { instance, dataCentre, weights } = upstream.status
    this.tried.add(instance)
    this.tracker.progress = { ...this.tracker.progress, weights }
    const sentAt = Date.now()
    const organisationClass = organisation.priority
    const result = await attempt(this.host, { caller, receivedAt, priority: organisation.priority, organisationClass, upstream, suspect, traceParent, response, signal, tracker: this.tracker })
    this.host.journal.recordAttempt(caller.id, { instance, dataCentre, sentAt, result: describeResult(result) })
    this.host.metrics.count('attempts_total', { service: caller.service, result: describeResult(result) })
    if (result.kind === 'answered' && caller.model === undefined) this.host.pace.record(caller.service, Date.now() - sentAt, Date.now())
    return await this.handleResult(upstream, result)
  }

  private async handleResult (upstream: UpstreamView, result: AttemptResult): Promise<Step> {
    if (result.kind === 'answered') return over(undefined)
    if (result.kind === 'lost') return await this.handleLoss(upstream, result)
    const { failure, claimHolder } = result
    if (failure.tag === 'claim-lost' && claimHolder !== '') return await this.followClaim(claimHolder)
    if (failure.outcome !== 'not-run') return over(failure)
    this.retryTimes.push(failure.retryAt)
    this.refusal = failure
    return retriedTags.has(failure.tag) ? nextUpstream : over(this.finalFailure())
  }

  private async handleLoss (upstream: UpstreamView, result: Extract<AttemptResult, { kind: 'lost' }>): Promise<Step> {
    const { caller, signal } = this.request
    if (signal.aborted && !caller.nonIdempotent) {
      this.isLost = true
      return over(this.finalFailure())
    }
    const settled = await resolveLostRequest(this.host, caller, upstream, result, this.tracker.progress.next > 0)
    this.isLost = !caller.nonIdempotent
    return this.applyResolution(settled, upstream.status.instance)
  }

  /** Another agent holds the claim of this key: only there can the request run, or its outcome be known. */
  private async followClaim (holder: string): Promise<Step> {
    const { caller } = this.request
    const upstream = this.host.upstreams.find(holder)
    if (upstream !== undefined && !this.tried.has(upstream.status.instance)) {
      const step = await this.send(upstream, false)
      if (step.kind === 'over' && step.failure?.outcome !== 'not-run') return step
    }
    const settled = await resolveByOutcome(this.host, caller, holder, { requestId: '', key: claimKey(caller.organisation, caller.service, caller.operation, caller.idempotencyKey), incarnation: '' })
    if (settled.kind === 'elsewhere') return over(createFailure('claim-lost', addRetryJitter(Date.now(), caller.id), 'not-run'))
    if (settled.kind === 'failed' && settled.failure.tag === 'upstream-lost') return over(createFailure('claim-lost', settled.failure.retryAt))
    return this.applyResolution(settled, upstream?.status.instance ?? '')
  }

  private applyResolution (settled: Resolution, instance: string): Step {
    if (settled.kind === 'elsewhere') return nextUpstream
    if (settled.kind === 'failed') return over(settled.failure)
    sendPlainAnswer(this.request.response, this.request.caller.id, { status: settled.reply.status, contentType: undefined, body: settled.reply.answer }, instance)
    return over(undefined)
  }

  private quarantined (until: number): Failure {
    return createFailure('quarantined', until, this.isLost ? 'unknown' : 'not-run')
  }

  /** The final failure: lost for good, or refused with the earliest time to come back. */
  private finalFailure (): Failure {
    const { caller } = this.request
    const now = Date.now()
    const retryAt = addRetryJitter(earliestRetry(this.retryTimes, now + retryDelayMilliseconds), caller.id)
    if (this.isLost) return createFailure(now >= caller.deadline ? 'deadline-passed' : 'upstream-lost', retryAt)
    return createFailure(this.refusal?.tag ?? this.noUpstreamTag(), retryAt, 'not-run')
  }

  /** Why no upstream could be chosen. */
  private noUpstreamTag (): FailureTag {
    const weights = this.acceptableWeights()
    const served = this.host.upstreams.statuses.some(status => weights?.includes(status.weights) === true)
    return weights !== undefined && !served ? 'no-weights' : 'busy'
  }
}

function over (failure: Failure | undefined): Step {
  return { kind: 'over', failure }
}

function describeResult (result: AttemptResult): string {
  if (result.kind === 'answered') return 'answered'
  return result.kind === 'lost' ? `lost-${result.reason}` : result.failure.tag
}
