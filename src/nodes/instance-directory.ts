/** Polls the platform's list of live and leaving instances, which may lag behind the actual state. */
import { instanceListSchema, type InstanceList, type ListedInstance } from '../types/platform.js'
import { requestChangedJson } from '../transports/http-client.js'
import { runInBackground } from '../utils/background.js'
import { logFor } from '../utils/log.js'
import { waitUntil } from '../utils/clock.js'

const pollMilliseconds = 500
const readTimeoutMilliseconds = 2000

const log = logFor('instances')

/** The last list that was read; it stays in use while the platform cannot be reached. */
export class InstanceDirectory {
  private list: InstanceList = { version: -1, instances: [] }
  /** Entity tag of the list, sent with each request so that an unchanged list is not transferred again. */
  private entityTag = ''
  private readonly stopping = new AbortController()
  private readonly listeners = new Set<() => void>()

  constructor (private readonly url: string) {}

  get instances (): readonly ListedInstance[] {
    return this.list.instances
  }

  /** Registers a callback for each new version of the list. */
  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  start (): void {
    runInBackground(this.poll(), log, 'poll the instance list')
  }

  stop (): void {
    this.stopping.abort()
  }

  private async poll (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        await this.readList()
      } catch (error) {
        log.warn('the instance list cannot be read', { reason: String(error) })
      }
      await waitUntil(Date.now() + pollMilliseconds, this.stopping.signal)
    }
  }

  private async readList (): Promise<void> {
    const changed = await requestChangedJson(`${this.url}/instances`, this.entityTag, Date.now() + readTimeoutMilliseconds)
    if (changed === undefined) return
    this.applyList(instanceListSchema.parse(changed.value))
    this.entityTag = changed.entityTag
  }

  private applyList (list: InstanceList): void {
    if (list.version <= this.list.version) return
    this.list = list
    for (const listener of this.listeners) listener()
  }
}
