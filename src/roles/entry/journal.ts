/** Recent requests of the entry, for `explain`: their attempts and outcomes, without bodies or keys. */
import type { Outcome } from '../../types/messages.js'

const maximumRequests = 5000

/** One request to one upstream. */
export interface AttemptRecord {
  readonly instance: string
  readonly dataCentre: string
  /** Epoch milliseconds. */
  readonly sentAt: number
  /** `answered`, a failure tag, or `lost-` with the reason of the loss. */
  readonly result: string
}

/** Record of one request. */
export interface RequestRecord {
  readonly id: string
  readonly service: string
  readonly operation: string
  readonly organisation: string
  /** Epoch milliseconds. */
  readonly receivedAt: number
  /** Epoch milliseconds. */
  readonly deadline: number
  readonly attempts: readonly AttemptRecord[]
  /** Empty while the request runs. */
  readonly outcome: Outcome | ''
  /** Tag of the failure, empty for a complete answer. */
  readonly failure: string
}

/** The latest requests; the oldest is dropped beyond `maximumRequests`. */
export class RequestJournal {
  private readonly records = new Map<string, RequestRecord>()

  /** Starts the record of a request. */
  open (record: Omit<RequestRecord, 'attempts' | 'outcome' | 'failure'>): void {
    this.records.set(record.id, { ...record, attempts: [], outcome: '', failure: '' })
    if (this.records.size <= maximumRequests) return
    const [oldest] = this.records.keys()
    if (oldest !== undefined) this.records.delete(oldest)
  }

  recordAttempt (id: string, attempt: AttemptRecord): void {
    const record = this.records.get(id)
    if (record !== undefined) this.records.set(id, { ...record, attempts: [...record.attempts, attempt] })
  }

  /** Records the outcome of a request; a record that was dropped is ignored. */
  close (id: string, outcome: Outcome, failure: string): void {
    const record = this.records.get(id)
    if (record !== undefined) this.records.set(id, { ...record, outcome, failure })
  }

  find (id: string): RequestRecord | undefined {
    return this.records.get(id)
  }
}
