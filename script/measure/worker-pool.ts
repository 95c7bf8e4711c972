/** A measured pool spread over a few worker processes. */
import { fork, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { ExchangeMember } from '../../src/roles/agent/exchange/options.js'
import type { Sources } from './pool.js'
import type { WorkerOrder, WorkerReport } from './worker.js'

const membersPerWorker = 13
const workerFile = fileURLToPath(new URL('./worker.js', import.meta.url))

/** Size and links of a pool. */
export interface WorkerPoolSettings {
  readonly instances: number
  readonly dataCentres: number
  readonly linkBytes: number
  readonly policy: 'exchange' | 'naive'
  readonly sources: Sources
}

type Totals = Omit<Extract<WorkerReport, { type: 'totals' }>, 'type'>

/** The pool. */
export class WorkerPool {
  private constructor (private readonly workers: readonly ChildProcess[], private readonly listed: readonly ExchangeMember[]) {}

  /** Starts the workers and their members. */
  static async start (settings: WorkerPoolSettings): Promise<WorkerPool> {
    const count = settings.policy === 'naive' ? 1 : Math.ceil(settings.instances / membersPerWorker)
    const workers = Array.from({ length: count }, () => fork(workerFile))
    const started = await Promise.all(workers.map(async (worker, number) => {
      const indexes = Array.from({ length: settings.instances }, (_, index) => index).filter(index => index % count === number)
      const { dataCentres, linkBytes, policy, sources } = settings
      return await ask(worker, { type: 'start', indexes, dataCentres, linkBytes, sources, policy }, 'started')
    }))
    return new WorkerPool(workers, started.flatMap(({ members }) => members))
  }

  /** Sets the target; resolves with the epoch milliseconds at which the last living member was whole. */
  async want (manifest: string, finishBy: number, killed: string | undefined): Promise<number> {
    const waiting = new Set(this.listed.map(({ instance }) => instance).filter(instance => instance !== killed))
    return await new Promise(resolve => {
      for (const worker of this.workers) {
        worker.on('message', (report: WorkerReport) => {
          if (report.type !== 'whole') return
          waiting.delete(report.instance)
          if (waiting.size === 0) resolve(report.at)
        })
        worker.send({ type: 'want', listed: this.listed, manifest, finishBy } satisfies WorkerOrder)
      }
    })
  }

  /** Ends one member as a crash would. */
  kill (instance: string): void {
    for (const worker of this.workers) worker.send({ type: 'kill', instance } satisfies WorkerOrder)
  }

  /** Ends the workers and returns what they counted. */
  async end (): Promise<Totals> {
    const reports = await Promise.all(this.workers.map(async worker => await ask(worker, { type: 'report' }, 'totals')))
    for (const worker of this.workers) worker.disconnect()
    return {
      busy: reports.reduce((sum, { busy }) => sum + busy, 0),
      polls: reports.reduce((sum, { polls }) => sum + polls, 0),
      processorMilliseconds: reports.reduce((sum, { processorMilliseconds }) => sum + processorMilliseconds, 0)
    }
  }
}

function ask<Kind extends WorkerReport['type']> (worker: ChildProcess, order: WorkerOrder, kind: Kind): Promise<Extract<WorkerReport, { type: Kind }>> {
  return new Promise(resolve => {
    const listen = (report: WorkerReport): void => {
      if (report.type !== kind) return
      worker.off('message', listen)
      resolve(report as Extract<WorkerReport, { type: Kind }>)
    }
    worker.on('message', listen)
    worker.send(order)
  })
}
