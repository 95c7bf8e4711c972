/** A read of records that is tried at several sources, and the calls that it makes outside the data centre. */
import { isBefore, isSamePosition, type LogPosition } from '../core/log-position.js'
import type { PreferredSource } from '../core/fleet/record-sources.js'
import type { NewestRecords, RecordPage } from '../types/ports.js'
import { monotonicNow, sleepUntil } from '../utils/clock.js'
import { OwnDelay } from '../utils/process-delay.js'

/** What a call asks for. */
export type ReadKind = 'newest' | 'records'

/** One call of a source outside the data centre; it may outlast the attempt that began it. */
export class PendingCall {
  /** Resolves when the call has ended, with or without a result. */
  end: Promise<void> = Promise.resolve()
  isEnded = false
  /** Undefined unless the call succeeded. */
  result: NewestRecords | RecordPage | undefined
  /** Whether an attempt has taken the result. */
  isAdopted = false
  private readonly ownDelay = new OwnDelay()

  /** `from`: first position that it asks for, `beforeLog` for all keys; `startedAt`, and `slowAt`, when it counts as slow unless this process is delayed: milliseconds of the monotonic clock. */
  constructor (readonly kind: ReadKind, readonly from: LogPosition, readonly startedAt: number, private readonly slowAt: number) {}

  /** Resolves once the call counts as slow; own delays of this process since its start do not count. */
  async becomesSlow (): Promise<void> {
    do await sleepUntil(this.slowAt + this.ownDelay.milliseconds)
    while (!this.isEnded && monotonicNow() < this.slowAt + this.ownDelay.milliseconds)
  }
}

/** One read, tried at one source after another. */
export class Attempt<Result extends NewestRecords | RecordPage = NewestRecords | RecordPage> {
  /** Error of the log if it was tried, otherwise of the first source. */
  failure: unknown
  /** Entries that did not answer. */
  unanswered = 0
  /** Whether it has ended, with or without a result. */
  isEnded = false
  private resolveAnswered: () => void = () => {}
  /** Resolves when there is a result. */
  readonly answered = new Promise<void>(resolve => { this.resolveAnswered = resolve })
  private found: Result | undefined

  /** `from`: first position that it asks for, `beforeLog` for all keys. */
  constructor (readonly kind: ReadKind, readonly from: LogPosition, readonly call: (source: PreferredSource) => Promise<Result>) {}

  get result (): Result | undefined {
    return this.found
  }

  set result (result: Result | undefined) {
    this.found ??= result
    if (result !== undefined) this.resolveAnswered()
  }

  /** Takes the result of a call if it answers this read, which may ask for fewer records than the call did. */
  adopt (call: PendingCall): void {
    if (this.isEnded || this.found !== undefined || call.isAdopted || call.result === undefined || call.kind !== this.kind || isBefore(this.from, call.from)) return
    if (!isSamePosition(call.from, this.from) && 'kind' in call.result && call.result.kind === 'expired') return
    call.isAdopted = true
    // Calls of one kind have results of one type.
    this.result = call.result as Result
  }
}
