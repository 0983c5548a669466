// Package ends lets an instance that can't read a job's record ask the owner whether the job has ended.
package ends
