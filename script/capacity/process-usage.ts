/** Processor time and memory of a process, from the kernel's own count. */
import { readFileSync } from 'node:fs'

const ticksPerSecond = 100
const utimeField = 11
const stimeField = 12
const kibibyte = 1024

/** Usage of a process at one moment. */
export interface Usage {
  /** User and system time since the start, seconds; it moves in steps of 10 ms. */
  readonly processorSeconds: number
  /** Resident memory, bytes. */
  readonly residentBytes: number
}

/** Reads the usage of process `id`. */
export function readUsage (id: number): Usage {
  const stat = readFileSync(`/proc/${id}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[utimeField]) + Number(fields[stimeField])
  const status = readFileSync(`/proc/${id}/status`, 'utf8')
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)
  return { processorSeconds: ticks / ticksPerSecond, residentBytes: Number(resident?.[1] ?? 0) * kibibyte }
}
