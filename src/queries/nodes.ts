/** Queries nodes for their configuration, status and recent requests. */
import PQueue from 'p-queue'
import { ControlClient } from '../transports/control.js'
import { requestJson, StatusError } from '../transports/http-client.js'
import type { AgentStatus, NodeDescription } from '../types/messages.js'
import { instanceListSchema, type ListedInstance } from '../types/platform.js'

/** Nodes that are queried at the same time. */
const maximumConcurrentQueries = 64
/** Time that a node or the platform has to answer a query. */
const requestTimeoutMilliseconds = 2000

/** Answer of an entry to `GET /status`. */
export interface EntryStatus {
  readonly node: NodeDescription
  readonly upstreams: readonly AgentStatus[]
}

/** A listed instance with its description; undefined when it did not answer in time. */
export interface QueriedNode {
  readonly listed: ListedInstance
  readonly description: NodeDescription | undefined
}

/** Reads the platform's instance list from its base URL; rejects when it cannot be read. */
export async function readInstances (url: string): Promise<readonly ListedInstance[]> {
  return instanceListSchema.parse(await requestJson({ url: `${url}/instances`, method: 'GET', deadline: Date.now() + requestTimeoutMilliseconds })).instances
}

/** Queries each instance over gRPC; an instance that does not answer gives no error, but an undefined description. */
export async function describeNodes (instances: readonly ListedInstance[]): Promise<readonly QueriedNode[]> {
  const queue = new PQueue({ concurrency: maximumConcurrentQueries })
  return await Promise.all(instances.map(async listed => {
    const description = await queue.add(async () => await describeNode(listed.controlAddress))
    return { listed, description }
  }))
}

/** Status of the first entry that answers; undefined when none does. */
export async function readStatus (entries: readonly string[]): Promise<EntryStatus | undefined> {
  for (const entry of entries) {
    try {
      return await requestJson({ url: `http://${entry}/status`, method: 'GET', deadline: Date.now() + requestTimeoutMilliseconds }) as EntryStatus
    } catch {
      // The next entry may answer.
    }
  }
  return undefined
}

/** Records that the entries hold of a request. `silent` lists the entries without a usable answer; a 404 means that the entry has no record. */
export async function findRequest (entries: readonly string[], id: string): Promise<{ readonly found: ReadonlyArray<{ readonly entry: string, readonly request: unknown }>, readonly silent: readonly string[] }> {
  const found: { readonly entry: string, readonly request: unknown }[] = []
  const silent: string[] = []
  await Promise.all(entries.map(async entry => {
    try {
      const request = await requestJson({ url: `http://${entry}/requests/${encodeURIComponent(id)}`, method: 'GET', deadline: Date.now() + requestTimeoutMilliseconds })
      found.push({ entry, request })
    } catch (error) {
      if (!(error instanceof StatusError) || error.status !== 404) silent.push(entry)
    }
  }))
  return { found, silent: silent.sort() }
}

async function describeNode (address: string): Promise<NodeDescription | undefined> {
  const client = new ControlClient(address)
  try {
    return await client.describe(Date.now() + requestTimeoutMilliseconds)
  } catch {
    return undefined
  } finally {
    client.close()
  }
}
