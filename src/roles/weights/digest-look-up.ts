/** Looks up the digests of a version that an engine has loaded, to compare what is staged with them. */
import { monotonicNow } from '../../utils/clock.js'
import { runInBackground } from '../../utils/background.js'
import { logFor } from '../../utils/log.js'
import { VersionChunks } from './chunk-store.js'

const log = logFor('exchange')

/** Time between two attempts, milliseconds. */
const attemptIntervalMilliseconds = 1000
/** Time from the first attempt from which one that begins and fails tells that nobody has the digests, milliseconds. */
const maximumSearchMilliseconds = 4000

interface Search {
  readonly model: string
  readonly version: number
  /** When the first attempt began, milliseconds of the monotonic clock. */
  readonly startedAt: number
  readonly found?: VersionChunks
  /** Whether an attempt has failed that began late enough: the time alone would count that of a process that was paused. */
  readonly hasFailed: boolean
}

/** Searches for the digests of one version at a time. */
export class DigestLookUp {
  private search: Search | undefined
  private isAsking = false
  /** Milliseconds of the monotonic clock before which no other attempt begins. */
  private retryAt = 0

  constructor (private readonly fetchDigests: (model: string, version: number) => Promise<readonly string[]>) {}

  /** The chunks of a version, none of which are held; undefined while its digests are not known, which are then asked for. Called repeatedly. */
  find (model: string, version: number): VersionChunks | undefined {
    const now = monotonicNow()
    if (this.search?.model !== model || this.search.version !== version) this.search = { model, version, startedAt: now, hasFailed: false }
    const { search } = this
    if (search.found === undefined && !this.isAsking && now >= this.retryAt) {
      this.isAsking = true
      this.retryAt = now + attemptIntervalMilliseconds
      runInBackground(this.ask(search, now).finally(() => { this.isAsking = false }), log, 'look up the digests of a version that is loaded')
    }
    return search.found
  }

  /** Whether nobody has answered for long with the digests that are searched. */
  get hasFailed (): boolean {
    return this.search?.hasFailed === true
  }

  private async ask (search: Search, askedAt: number): Promise<void> {
    const { model, version } = search
    const digests = await this.fetchDigests(model, version).catch((error: unknown) => { log.warn('could not fetch the manifest of a version that is loaded', { model, version, reason: String(error) }) })
    if (this.search !== search) return
    if (digests !== undefined) this.search = { ...search, found: new VersionChunks(model, version, digests) }
    else if (askedAt >= search.startedAt + maximumSearchMilliseconds) this.search = { ...search, hasFailed: true }
  }
}
