/** An operator who works through the command line, and the questions that a script asks of a deployment. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Answers } from '../src/types/answers.js'
import type { Change } from '../src/types/configuration.js'
import type { StreamPage } from '../src/types/platform.js'
import { canonicalJson } from '../src/utils/digest.js'
import { waitUntil } from '../src/utils/clock.js'
import type { RunningDeployment } from './deployment.js'
import { setFaults } from './deployment.js'
import { runCommand, type StartedInstance } from './launch.js'

const rolloutMilliseconds = 60_000
const commandMilliseconds = 30_000
/** Time between two reads of the log while it fails, milliseconds. */
const readRetryMilliseconds = 200
const pollMilliseconds = 50

/** A rollout that was accepted; times in epoch milliseconds. */
export interface AcceptedRollout { readonly manifest: string, readonly acceptedAt: number }

/** Drives a deployment as operators do. */
export class Operator {
  private readonly folder = mkdtempSync(join(tmpdir(), 'pollendyke-'))
  /** Base URL of the log that the command line uses. */
  readonly log: string

  constructor (private readonly running: RunningDeployment, private readonly answers: Answers) {
    this.log = `http://${running.log.listen}`
  }

  /** Non-idempotent operations as `service/operation`. */
  get nonIdempotent (): ReadonlySet<string> {
    return new Set(this.answers.services.flatMap(service => service.kind === 'plain' ? service.nonIdempotent.map(operation => `${service.name}/${operation}`) : []))
  }

  /** Generates the configuration from an answers file and applies it. */
  async applyAnswers (file: string): Promise<void> {
    const generated = await runCommand(['generate', file])
    if (generated.code !== 0) throw new Error(`generate failed: ${generated.errors}`)
    await this.apply('configuration.json', generated.output)
  }

  /** Generates the configuration from answers and applies it. */
  async applyGenerated (): Promise<void> {
    await this.applyAnswers(this.write('answers.json', JSON.stringify(this.answers)))
  }

  /** Puts a version into the origin and the store and applies an intent for all organisations in all data centres. */
  async rollOut (service: string, version: string, totalBytes: number, chunkBytes: number): Promise<AcceptedRollout> {
    const weights = { model: 'model', adapter: null, version, totalBytes, chunkBytes }
    await setFaults(this.running.store, weights, 'weights')
    const { digest } = await setFaults(this.running.origin, weights, 'weights') as { digest: string }
    const organisations = this.answers.organisations.map(({ name }) => name)
    const dataCentres = this.answers.dataCentres.map(({ name }) => name)
    const intent = { id: `version-${version}`, service, model: 'model', adapter: null, version, manifest: digest, organisations, dataCentres, finishBy: Date.now() + rolloutMilliseconds }
    const acceptedAt = await this.apply('intent.json', JSON.stringify({ kind: 'intent', intent }))
    return { manifest: digest, acceptedAt }
  }

  /** Takes a data centre out or back in, trying again while the platform fails; resolves with the time at which the log took the change, epoch milliseconds. */
  async moveZone (direction: 'in' | 'out', dataCentre: string): Promise<number> {
    const deadline = Date.now() + commandMilliseconds
    for (;;) {
      const moved = await this.tryZone(direction, dataCentre)
      if (moved.code === 0) break
      if (Date.now() > deadline) throw new Error(`zone ${direction} failed: ${moved.output} ${moved.errors}`)
    }
    return await this.lastMoveAt(direction, dataCentre)
  }

  /** Takes a data centre out or back in, whatever the command line answers; `author` is the name in the history. */
  async tryZone (direction: 'in' | 'out', dataCentre: string, author = 'operator'): Promise<{ readonly code: number, readonly output: string, readonly errors: string }> {
    return await runCommand(['zone', direction, dataCentre, '--log', this.log, '--author', author])
  }

  /** All records of the configuration stream; read again while the log fails, as another series may have it lose answers. */
  async readChanges (): Promise<StreamPage> {
    const deadline = Date.now() + commandMilliseconds
    for (;;) {
      try {
        return await (await fetch(`${this.log}/streams/configuration/records?from=0`)).json() as StreamPage
      } catch (error) {
        if (Date.now() > deadline) throw error
        await waitUntil(Date.now() + readRetryMilliseconds)
      }
    }
  }

  /** When the log took the last such move, by its own record. */
  private async lastMoveAt (state: 'in' | 'out', dataCentre: string): Promise<number> {
    const page = await this.readChanges()
    const moves = page.records.filter(({ body }) => isMatch(body, { kind: 'data-centre', dataCentre, state }))
    return moves.at(-1)?.at ?? Date.now()
  }

  /** Bytes of chunks that the origin sent. */
  async originBytes (): Promise<number> {
    return (await setFaults(this.running.origin, {}) as { sentBytes: number }).sentBytes
  }

  /** Removes the operator's files. */
  end (): void {
    rmSync(this.folder, { recursive: true, force: true })
  }

  /** Applies a file, trying again while the platform fails. */
  private async apply (name: string, text: string): Promise<number> {
    const deadline = Date.now() + commandMilliseconds
    for (;;) {
      const applied = await runCommand(['apply', this.write(name, text), '--log', this.log])
      if (applied.code === 0) return Date.now()
      if (Date.now() > deadline) throw new Error(`apply failed: ${applied.output} ${applied.errors}`)
    }
  }

  private write (name: string, text: string): string {
    const file = join(this.folder, name)
    writeFileSync(file, text)
    return file
  }
}

function isMatch (body: string, wanted: Change): boolean {
  const { change } = JSON.parse(body) as { change?: Change }
  return change !== undefined && canonicalJson(change) === canonicalJson(wanted)
}

/** Waits until every engine of the service reports the manifest itself; returns milliseconds since `from`. */
export async function waitForReplicas (running: RunningDeployment, service: string, manifest: string, from: number): Promise<number> {
  const engines = running.instances.filter(({ listed }) => listed.service === service)
  await waitFor(`${manifest.slice(0, 8)} on every ${service}`, async () => await isOnAll(engines, manifest))
  return Date.now() - from
}

/** Whether every engine reports the manifest itself. */
export async function isOnAll (engines: readonly StartedInstance[], manifest: string): Promise<boolean> {
  const states = await Promise.all(engines.map(async engine => await engineWeights(engine.upstream?.listen ?? '')))
  return states.every(weights => weights === manifest)
}

/** Waits for a condition; the cap only ends a hang. */
export async function waitFor (what: string, condition: () => Promise<boolean>, capMilliseconds = rolloutMilliseconds): Promise<void> {
  const deadline = Date.now() + capMilliseconds
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`waited in vain for ${what}`)
    await waitUntil(Date.now() + pollMilliseconds)
  }
}

async function engineWeights (listen: string): Promise<string> {
  try {
    const state = await (await fetch(`http://${listen}/state`)).json() as { weights: string | null }
    return state.weights ?? ''
  } catch {
    return ''
  }
}
